package org.fescuehook.logic.batch.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One append that is sent again while its answer is late, beside the sends before it, and has one
 * outcome. The store answers a repeated epoch and sequence as it answered the first, so the first
 * word that it is stored counts for all sends.
 *
 * <p>With 4 of 10 answers lost, all but 7 of 10,000 appends are decided within half a second. With
 * one send, each lost answer is a second in which the owner stores nothing, refuses calls and is
 * taken for one that is cut off.
 */
public final class RepeatedAppend {

  /**
   * Sends of one append: with four of ten answers lost, all are in 2 of 100,000 cases. A store that
   * is silent is asked as often a second by the one owner, where it takes hundreds.
   */
  private static final int MOST_SENDS = 12;

  /** Longest time to the outcome, without that for the way of the bytes. */
  private static final Duration LIMIT = Duration.ofSeconds(1);

  /** Pace at which the thinnest link that VMs have, 7 Mbit/s, takes an append. */
  private static final long BYTES_A_MILLI = 875;

  private final Link link;
  private final AnswerTimes times;
  private final Duration way;
  private final Consumer<AppendOutcome> sink;
  private final long begunAt;
  private final List<Link.Sending> open = new ArrayList<>();
  private int sends;
  private int failed;
  private int unanswered;
  private boolean ended;

  /** How an append gets to the store; all calls and callbacks are on one thread. */
  public interface Link {

    /** Returns the monotonic time in nanoseconds. */
    long nowNanos();

    /**
     * Sends the append once.
     *
     * @param limit longest time to its answer
     * @param sink called once with what became of this send
     * @return absent if no connection is free; nothing is called then
     */
    Optional<Sending> send(Duration limit, Consumer<AppendOutcome> sink);

    /** Does something after a while. */
    void after(Duration delay, Runnable action);

    /** One send under way. */
    interface Sending {

      /** Waits for it no longer. */
      void giveUp();
    }
  }

  private RepeatedAppend(Link link, AnswerTimes times, int bytes, Consumer<AppendOutcome> sink) {
    this.link = link;
    this.times = times;
    this.way = Duration.ofMillis(bytes / BYTES_A_MILLI);
    this.sink = sink;
    this.begunAt = link.nowNanos();
  }

  /**
   * Begins an append.
   *
   * @param times what is known of the answers of its stream
   * @param bytes size of its records
   * @param sink called once with its outcome
   */
  public static void begin(Link link, AnswerTimes times, int bytes, Consumer<AppendOutcome> sink) {
    new RepeatedAppend(link, times, bytes, sink).send();
  }

  private Duration left() {
    return LIMIT.plus(way).minusNanos(link.nowNanos() - begunAt);
  }

  private void send() {
    long sentAt = link.nowNanos();
    Optional<Link.Sending> sending = link.send(left(), outcome -> ended(sentAt, outcome));
    if (sending.isPresent()) {
      sends++;
      open.add(sending.get());
    }
    if (sends == 0) {
      end(new AppendOutcome.Refused("no connection is free"));
      return;
    }
    link.after(times.late().plus(way), this::repeat);
  }

  private void repeat() {
    boolean inTime = left().compareTo(times.late()) > 0;
    if (!ended && sends < MOST_SENDS && inTime) {
      send();
    }
  }

  private void ended(long sentAt, AppendOutcome outcome) {
    if (ended) {
      return;
    }
    if (!(outcome instanceof AppendOutcome.Refused
        || outcome instanceof AppendOutcome.Unanswered)) {
      times.answered(link.nowNanos() - sentAt);
    }
    switch (outcome) {
      case AppendOutcome.Stored stored -> end(stored);
      case AppendOutcome.Fenced _, AppendOutcome.Conflict _, AppendOutcome.OutOfSequence _ ->
          end(surelyNothingElse() ? outcome : unsure());
      case AppendOutcome.Refused refused -> failed(refused);
      case AppendOutcome.Unanswered lost -> {
        unanswered++;
        failed(lost);
      }
    }
  }

  /**
   * Tells whether the store has done nothing by any send but the one that has just ended. A
   * rejection says nothing of the others: one of them may have been stored before another writer
   * came, and its answer lost.
   */
  private boolean surelyNothingElse() {
    return unanswered == 0 && failed + 1 == sends;
  }

  private static AppendOutcome unsure() {
    return new AppendOutcome.Unanswered("another send of it had no answer");
  }

  /** One send has failed; the append has once none is under way any more. */
  private void failed(AppendOutcome outcome) {
    failed++;
    if (failed == sends) {
      end(unanswered == 0 ? outcome : unsure());
    }
  }

  private void end(AppendOutcome outcome) {
    ended = true;
    open.forEach(Link.Sending::giveUp);
    open.clear();
    sink.accept(outcome);
  }
}
