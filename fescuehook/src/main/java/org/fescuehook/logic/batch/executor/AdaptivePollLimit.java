package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits how many unresponsive executors are polled concurrently: those that have not answered this
 * owner yet, or did not answer their last poll. The limit adapts to how fast this VM reads their
 * answers.
 *
 * <p>Without a limit a new owner polls its whole fleet at once. On a VM with a third of a core the
 * answers of 350 executors are then read after their timeout, so all of them count as silent and
 * are polled again on new connections. Heartbeats are delayed behind these polls until another VM
 * takes over and repeats the same.
 */
final class AdaptivePollLimit {

  /**
   * Initial and lowest limit. At 5 to 8 ms an exchange on a third of a core, the answers are read
   * within 130 ms. Even if each poll takes its full timeout of 350 ms, 45 executors are polled per
   * second.
   */
  private static final int MIN_LIMIT = 16;

  /** Highest limit; on any VM, answers become slow before this many polls are in flight. */
  private static final int MAX_LIMIT = 512;

  /** Answers read within this time raise the limit; about a third of a poll's timeout. */
  private static final long FAST_ANSWER_NANOS = Duration.ofMillis(100).toNanos();

  /** Answers that take longer lower the limit, before they exceed the poll timeout of 350 ms. */
  private static final long SLOW_ANSWER_NANOS = Duration.ofMillis(200).toNanos();

  private final Map<Long, PollInFlight> inFlight = new HashMap<>();
  private int limit = MIN_LIMIT;
  private int retriesInFlight;

  private record PollInFlight(long sentAt, boolean retry) {}

  /**
   * Tells whether another executor may be polled now.
   *
   * @param retry whether it did not answer its last poll; retries take at most half of the limit,
   *     since many of these executors may stay silent
   */
  boolean allows(boolean retry) {
    boolean retriesAtLimit = retry && retriesInFlight >= limit / 2;
    return inFlight.size() < limit && !retriesAtLimit;
  }

  /** Records that an executor was polled. */
  void sent(long number, boolean retry, long nowNanos) {
    inFlight.put(number, new PollInFlight(nowNanos, retry));
    retriesInFlight += retry ? 1 : 0;
  }

  /** Records the answer to an order and adapts the limit; numbers of other orders are ignored. */
  void answered(long number, long nowNanos) {
    PollInFlight poll = inFlight.remove(number);
    if (poll == null) {
      return;
    }
    retriesInFlight -= poll.retry() ? 1 : 0;
    long took = nowNanos - poll.sentAt();
    if (took <= FAST_ANSWER_NANOS) {
      limit = Math.min(MAX_LIMIT, limit + 1);
    } else if (took > SLOW_ANSWER_NANOS) {
      limit = Math.max(MIN_LIMIT, limit - 1);
    }
  }

  /**
   * Records that a poll timed out. The limit stays: the executor may be silent, and if answers are
   * read too late, the answers that do arrive show that as well.
   */
  void unanswered(long number) {
    PollInFlight poll = inFlight.remove(number);
    if (poll != null) {
      retriesInFlight -= poll.retry() ? 1 : 0;
    }
  }
}
