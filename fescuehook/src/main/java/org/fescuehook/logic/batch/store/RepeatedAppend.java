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
 *
 * <p>A send that is late is not given up for that: a store that is slow answers the first send as
 * soon as any other. Giving it up sooner than the store can answer would mean that nothing is ever
 * stored, however often it is sent.
 */
public final class RepeatedAppend {

  /** Time within which no answer is late; fifteen times the usual 4 ms bear a pause of this VM. */
  public static final Duration NEVER_LATE = Duration.ofMillis(60);

  /**
   * Longest time to the outcome, without that for the way of the bytes. Callers wait about 3 s, so
   * a store that takes longer serves none of them.
   */
  public static final Duration LIMIT = Duration.ofSeconds(10);

  /** Sends under way at most: the first one, which a slow store answers first, and the newest. */
  private static final int MOST_OPEN = 6;

  /** Sends at the first pace: with four of ten answers lost, all are in 7 of 10,000 cases. */
  private static final int QUICK_SENDS = 8;

  /** After these each pause is this many times the one before, as the store is slow or away. */
  private static final double PAUSE_GROWTH = 1.4;

  /** What the growing pauses end at: a store that was silent is found back within it. */
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(400);

  /** Pace at which the thinnest link that VMs have, 7 Mbit/s, takes an append. */
  private static final long BYTES_A_MILLI = 875;

  private final Link link;
  private final ResponseTimeEstimator times;
  private final Duration way;
  private final Consumer<AppendOutcome> sink;
  private final long begunAt;
  private final List<Send> open = new ArrayList<>();
  private Duration pause;
  private int sends;
  private boolean unanswered;
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

  private RepeatedAppend(
      Link link, ResponseTimeEstimator times, int bytes, Consumer<AppendOutcome> sink) {
    this.link = link;
    this.times = times;
    this.way = Duration.ofMillis(bytes / BYTES_A_MILLI);
    this.sink = sink;
    this.begunAt = link.nowNanos();
    this.pause = times.late();
  }

  /**
   * Begins an append.
   *
   * @param times what is known of the answers of its stream
   * @param bytes size of its records
   * @param sink called once with its outcome
   */
  public static void begin(
      Link link, ResponseTimeEstimator times, int bytes, Consumer<AppendOutcome> sink) {
    new RepeatedAppend(link, times, bytes, sink).send();
  }

  private Duration left() {
    return LIMIT.plus(way).minusNanos(link.nowNanos() - begunAt);
  }

  private void send() {
    Send send = new Send(link.nowNanos());
    Optional<Link.Sending> sending = link.send(left(), outcome -> ended(send, outcome));
    if (sending.isPresent()) {
      send.sending = sending;
      open.add(send);
      sends++;
    }
    if (sends == 0) {
      end(new AppendOutcome.Refused("no connection is free"));
      return;
    }
    link.after(pause.plus(way), this::repeat);
  }

  private void repeat() {
    boolean inTime = left().compareTo(times.late()) > 0;
    if (ended || !inTime) {
      return;
    }
    pause = longer(sends < QUICK_SENDS ? pause : grown(pause), times.late());
    if (open.size() == MOST_OPEN) {
      giveUp(open.get(1));
    }
    send();
  }

  private static Duration grown(Duration pause) {
    Duration grown = Duration.ofNanos(Math.round(pause.toNanos() * PAUSE_GROWTH));
    return grown.compareTo(LONGEST_PAUSE) < 0 ? grown : LONGEST_PAUSE;
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? other : one;
  }

  /** Waits for one send no longer; it may still be stored. */
  private void giveUp(Send send) {
    open.remove(send);
    unanswered = true;
    send.sending.ifPresent(Link.Sending::giveUp);
  }

  private void ended(Send send, AppendOutcome outcome) {
    if (!open.remove(send)) {
      return;
    }
    if (!(outcome instanceof AppendOutcome.Refused
        || outcome instanceof AppendOutcome.Unanswered)) {
      times.answered(link.nowNanos() - send.sentAt);
    }
    switch (outcome) {
      case AppendOutcome.Stored stored -> end(stored);
      case AppendOutcome.Fenced _, AppendOutcome.Conflict _, AppendOutcome.OutOfSequence _ ->
          end(surelyNothingElse() ? outcome : unsure());
      case AppendOutcome.Refused refused -> failed(refused);
      case AppendOutcome.Unanswered lost -> {
        unanswered = true;
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
    return !unanswered && open.isEmpty();
  }

  private AppendOutcome unsure() {
    long millis = Duration.ofNanos(link.nowNanos() - begunAt).toMillis();
    return new AppendOutcome.Unanswered(
        "sent " + sends + " times in " + millis + " ms, not all answered");
  }

  /** One send has failed; the append has once none is under way any more. */
  private void failed(AppendOutcome outcome) {
    if (open.isEmpty()) {
      end(unanswered ? unsure() : outcome);
    }
  }

  private void end(AppendOutcome outcome) {
    ended = true;
    List<Send> left = List.copyOf(open);
    open.clear();
    left.forEach(send -> send.sending.ifPresent(Link.Sending::giveUp));
    sink.accept(outcome);
  }

  /** One send. */
  private static final class Send {
    private final long sentAt;
    private Optional<Link.Sending> sending = Optional.empty();

    Send(long sentAt) {
      this.sentAt = sentAt;
    }
  }
}
