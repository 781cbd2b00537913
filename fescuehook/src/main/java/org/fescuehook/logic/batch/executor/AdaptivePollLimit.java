package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how many executors are asked at once that have not answered this owner, or not the last
 * time. The bound follows how fast this VM reads their answers.
 *
 * <p>Without it a new owner asks its whole fleet at once. On a third of a core the answers of 350
 * executors are read after their time limit, so all of them count as silent and are asked again on
 * new connections, and heartbeats wait behind that until another VM takes over and begins the same.
 */
final class AdaptivePollLimit {

  /**
   * Size to begin with, and the least: at 5 to 8 ms an exchange on a third of a core, answers are
   * read within 130 ms. Even if each takes the 350 ms of a poll's time limit, 45 executors are
   * asked a second.
   */
  private static final int FEWEST = 16;

  /** More than any VM has under way before its answers come late. */
  private static final int MOST = 512;

  /** Answers that are read within this let the window grow; a third of a poll's time limit. */
  private static final long PROMPT_NANOS = Duration.ofMillis(100).toNanos();

  /** Answers that take longer let it shrink, before they exceed the limit of 350 ms. */
  private static final long LATE_NANOS = Duration.ofMillis(200).toNanos();

  private final Map<Long, Contact> underWay = new HashMap<>();
  private int size = FEWEST;
  private int repeatsUnderWay;

  private record Contact(long sentAt, boolean repeated) {}

  /**
   * Tells whether another executor may be asked.
   *
   * @param repeated whether it did not answer the last time; such ones take half of the window at
   *     most, as many may stay silent
   */
  boolean admits(boolean repeated) {
    boolean repeatsFull = repeated && repeatsUnderWay >= size / 2;
    return underWay.size() < size && !repeatsFull;
  }

  /** Remembers that an executor was asked. */
  void sent(long number, boolean repeated, long nowNanos) {
    underWay.put(number, new Contact(nowNanos, repeated));
    repeatsUnderWay += repeated ? 1 : 0;
  }

  /** Takes in that an executor answered; numbers of other orders are left alone. */
  void answered(long number, long nowNanos) {
    Contact contact = underWay.remove(number);
    if (contact == null) {
      return;
    }
    repeatsUnderWay -= contact.repeated() ? 1 : 0;
    long took = nowNanos - contact.sentAt();
    if (took <= PROMPT_NANOS) {
      size = Math.min(MOST, size + 1);
    } else if (took > LATE_NANOS) {
      size = Math.max(FEWEST, size - 1);
    }
  }

  /**
   * Takes in that an executor did not answer in time: it is silent, or its answer came too late,
   * which the answers that come show as well.
   */
  void missed(long number) {
    Contact contact = underWay.remove(number);
    if (contact != null) {
      repeatsUnderWay -= contact.repeated() ? 1 : 0;
    }
  }
}
