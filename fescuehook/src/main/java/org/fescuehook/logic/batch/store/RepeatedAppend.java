package org.fescuehook.logic.batch.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One append that is sent again while its answer is late, concurrently with the earlier sends, and
 * has a single outcome (a hedged request). The store answers a repeated epoch and sequence number
 * with the first answer, so the first answer that the records are stored holds for all sends.
 *
 * <p>With 4 of 10 answers lost, all but 7 of 10,000 appends are decided within half a second. With
 * a single send, each lost answer would be a second in which the owner stores nothing, refuses
 * calls and is taken for one that is cut off from the store.
 *
 * <p>A send is not given up because it is late: a slow store answers the first send as early as any
 * other. Giving it up sooner than the store can answer would mean that nothing is ever stored,
 * however often it is sent.
 */
public final class RepeatedAppend {

  /**
   * Time within which no answer counts as late; fifteen times the usual 4 ms, which tolerates a
   * pause of this VM.
   */
  public static final Duration NEVER_LATE = Duration.ofMillis(60);

  /**
   * Longest time to the outcome, without the transfer time. Callers wait about 3 s, so a store that
   * takes longer serves none of them.
   */
  public static final Duration LIMIT = Duration.ofSeconds(10);

  /**
   * Most concurrent sends: the first one, which a slow store answers first, and the newest ones.
   */
  private static final int MAX_IN_FLIGHT = 6;

  /**
   * Number of sends at the initial interval; with four of ten answers lost, all of these are lost
   * in 7 of 10,000 cases.
   */
  private static final int FAST_SENDS = 8;

  /**
   * Factor by which the pause grows with each further send, since the store is slow or unreachable.
   */
  private static final double PAUSE_GROWTH = 1.4;

  /** Upper limit of the pause, within which a store that is reachable again is noticed. */
  private static final Duration MAX_PAUSE = Duration.ofMillis(400);

  /** Bytes per millisecond that the slowest network link of a VM, 7 Mbit/s, transfers. */
  private static final long BYTES_PER_MILLI = 875;

  private final Link link;
  private final ResponseTimeEstimator times;
  private final Duration transferTime;
  private final Consumer<AppendOutcome> sink;
  private final long startedAt;
  private final List<Send> inFlight = new ArrayList<>();
  private Duration pause;
  private int sendCount;
  private boolean anyUnanswered;
  private boolean completed;

  /** Transport of an append to the store; all calls and callbacks are made on one thread. */
  public interface Link {

    /** Returns the monotonic time in nanoseconds. */
    long nowNanos();

    /**
     * Sends the append once.
     *
     * @param limit longest time to its answer
     * @param sink called once with the outcome of this send
     * @return absent if no connection is free, in which case the sink is not called
     */
    Optional<Sending> send(Duration limit, Consumer<AppendOutcome> sink);

    /** Runs an action after a delay. */
    void after(Duration delay, Runnable action);

    /** A send that has not been answered. */
    interface Sending {

      /** Stops waiting for the answer. */
      void giveUp();
    }
  }

  private RepeatedAppend(
      Link link, ResponseTimeEstimator times, int bytes, Consumer<AppendOutcome> sink) {
    this.link = link;
    this.times = times;
    this.transferTime = Duration.ofMillis(bytes / BYTES_PER_MILLI);
    this.sink = sink;
    this.startedAt = link.nowNanos();
    this.pause = times.lateAfter();
  }

  /**
   * Begins an append.
   *
   * @param times response times of its stream
   * @param bytes size of its records
   * @param sink called once with its outcome
   */
  public static void begin(
      Link link, ResponseTimeEstimator times, int bytes, Consumer<AppendOutcome> sink) {
    new RepeatedAppend(link, times, bytes, sink).send();
  }

  private Duration remainingTime() {
    return LIMIT.plus(transferTime).minusNanos(link.nowNanos() - startedAt);
  }

  private void send() {
    Send send = new Send(link.nowNanos());
    Optional<Link.Sending> sending =
        link.send(remainingTime(), outcome -> sendEnded(send, outcome));
    if (sending.isPresent()) {
      send.sending = sending;
      inFlight.add(send);
      sendCount++;
    }
    if (sendCount == 0) {
      complete(new AppendOutcome.Refused("no connection is free"));
      return;
    }
    link.after(pause.plus(transferTime), this::repeat);
  }

  private void repeat() {
    boolean inTime = remainingTime().compareTo(times.lateAfter()) > 0;
    if (completed || !inTime) {
      return;
    }
    pause = longerOf(sendCount < FAST_SENDS ? pause : grown(pause), times.lateAfter());
    if (inFlight.size() == MAX_IN_FLIGHT) {
      giveUp(inFlight.get(1));
    }
    send();
  }

  private static Duration grown(Duration pause) {
    Duration grown = Duration.ofNanos(Math.round(pause.toNanos() * PAUSE_GROWTH));
    return grown.compareTo(MAX_PAUSE) < 0 ? grown : MAX_PAUSE;
  }

  private static Duration longerOf(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? other : one;
  }

  /** Stops waiting for one send, whose records may still be stored. */
  private void giveUp(Send send) {
    inFlight.remove(send);
    anyUnanswered = true;
    send.sending.ifPresent(Link.Sending::giveUp);
  }

  private void sendEnded(Send send, AppendOutcome outcome) {
    if (!inFlight.remove(send)) {
      return;
    }
    if (!(outcome instanceof AppendOutcome.Refused
        || outcome instanceof AppendOutcome.Unanswered)) {
      times.answered(link.nowNanos() - send.sentAt);
    }
    switch (outcome) {
      case AppendOutcome.Stored stored -> complete(stored);
      case AppendOutcome.Fenced _, AppendOutcome.Conflict _, AppendOutcome.OutOfSequence _ ->
          complete(noOtherSendMayBeStored() ? outcome : unansweredOutcome());
      case AppendOutcome.Refused refused -> sendFailed(refused);
      case AppendOutcome.Unanswered lost -> {
        anyUnanswered = true;
        sendFailed(lost);
      }
    }
  }

  /**
   * Tells whether the store has certainly not processed any send other than the one that has just
   * ended. A rejection says nothing about the others: one of them may have been stored before
   * another writer took over, and its answer lost.
   */
  private boolean noOtherSendMayBeStored() {
    return !anyUnanswered && inFlight.isEmpty();
  }

  private AppendOutcome unansweredOutcome() {
    long millis = Duration.ofNanos(link.nowNanos() - startedAt).toMillis();
    return new AppendOutcome.Unanswered(
        "sent " + sendCount + " times in " + millis + " ms, not all answered");
  }

  /** Handles a failed send; the append has failed once no other send is in flight. */
  private void sendFailed(AppendOutcome outcome) {
    if (inFlight.isEmpty()) {
      complete(anyUnanswered ? unansweredOutcome() : outcome);
    }
  }

  private void complete(AppendOutcome outcome) {
    completed = true;
    List<Send> remaining = List.copyOf(inFlight);
    inFlight.clear();
    remaining.forEach(send -> send.sending.ifPresent(Link.Sending::giveUp));
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
