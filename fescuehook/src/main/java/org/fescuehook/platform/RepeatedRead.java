package org.fescuehook.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;

/**
 * One read of the store that is asked for again while its answer is late, beside the asks before
 * it, and has one outcome: the first answer. Reads have no effect, so any answer will do.
 *
 * <p>A late ask is not given up for that. A store that is slow answers it as soon as any other,
 * while a connection that has gone silent is replaced by that of the next ask.
 */
final class RepeatedRead {

  /** Time within which no answer is late: a large answer may be on the same link before it. */
  static final Duration NEVER_LATE = Duration.ofMillis(700);

  /** Longest time to the outcome beside the wait that a read asks for. */
  static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** Asks under way at most: the first one, which a slow store answers first, and the newest. */
  private static final int MAX_OPEN_REQUESTS = 3;

  /** How long an answer that has begun may pause until it counts as late. */
  private static final Duration MAX_ANSWER_GAP = Duration.ofMillis(700);

  private final Link link;
  private final ResponseTimeEstimator times;
  private final Duration wait;
  private final Listener listener;
  private final long startedAtNanos;
  private final List<ReadRequest> open = new ArrayList<>();
  private boolean ended;

  /** How a read gets to the store; all calls and callbacks are on one thread. */
  interface Link {

    /** Returns the monotonic time in nanoseconds. */
    long nowNanos();

    /**
     * Asks once.
     *
     * @param wait how long the store may wait for a record
     * @param limit longest time to the whole answer
     * @param sink called once with what became of it
     */
    InFlightRead send(Duration wait, Duration limit, Consumer<ReadOutcome> sink);

    /** Does something after a while. */
    void after(Duration delay, Runnable action);

    /** One ask under way. */
    interface InFlightRead {

      /** Tells whether a part of the answer has come within a time until now. */
      boolean heardWithin(Duration time);

      /** Returns how long the answer's first part took; without a meaning before it has come. */
      long firstPartNanos();

      /** Waits for it no longer; nothing is called afterwards. */
      void giveUp();
    }
  }

  /** Hears of a read. */
  interface Listener {

    /**
     * No answer has come in the usual time, and the store is asked again. Called once for each
     * further ask.
     *
     * @param time since the read was begun
     */
    void late(Duration time);

    /** The read has ended. */
    void ended(ReadOutcome outcome);
  }

  private RepeatedRead(Link link, ResponseTimeEstimator times, Duration wait, Listener listener) {
    this.link = link;
    this.times = times;
    this.wait = wait;
    this.listener = listener;
    this.startedAtNanos = link.nowNanos();
  }

  /**
   * Begins a read.
   *
   * @param times what is known of the store's answers to reads
   * @param wait how long the store may wait for a record
   */
  static RepeatedRead begin(
      Link link, ResponseTimeEstimator times, Duration wait, Listener listener) {
    RepeatedRead read = new RepeatedRead(link, times, wait, listener);
    read.sendRequest(wait);
    return read;
  }

  /** Ends the read without an outcome. */
  void cancel() {
    ended = true;
    giveUpAll();
  }

  private Duration age() {
    return Duration.ofNanos(link.nowNanos() - startedAtNanos);
  }

  private void sendRequest(Duration storeWait) {
    ReadRequest request = new ReadRequest(storeWait);
    open.add(request);
    request.inFlight =
        link.send(storeWait, TIMEOUT.plus(wait).minus(age()), outcome -> handle(request, outcome));
    link.after(storeWait.plus(times.late()), this::repeatIfLate);
  }

  private void repeatIfLate() {
    if (ended || age().plus(times.late()).compareTo(TIMEOUT.plus(wait)) > 0) {
      return;
    }
    if (open.stream().anyMatch(request -> request.inFlight.heardWithin(MAX_ANSWER_GAP))) {
      link.after(MAX_ANSWER_GAP, this::repeatIfLate);
      return;
    }
    listener.late(age());
    if (open.size() == MAX_OPEN_REQUESTS) {
      open.remove(1).inFlight.giveUp();
    }
    // What the store has now is enough; the first ask still waits for the next record.
    sendRequest(Duration.ZERO);
  }

  private void handle(ReadRequest request, ReadOutcome outcome) {
    if (!open.remove(request)) {
      return;
    }
    boolean failed = outcome instanceof ReadOutcome.Failed;
    if (failed && !open.isEmpty()) {
      return;
    }
    long answerNanos = request.inFlight.firstPartNanos() - request.wait.toNanos();
    // An answer within the wait came with a record, and tells nothing of the store's pace.
    if (!failed && answerNanos > 0) {
      times.answered(answerNanos);
    }
    ended = true;
    giveUpAll();
    listener.ended(outcome);
  }

  private void giveUpAll() {
    List<ReadRequest> remaining = List.copyOf(open);
    open.clear();
    remaining.forEach(request -> request.inFlight.giveUp());
  }

  /** One ask. */
  private static final class ReadRequest {
    private final Duration wait;
    private Link.InFlightRead inFlight;

    ReadRequest(Duration wait) {
      this.wait = wait;
    }
  }
}
