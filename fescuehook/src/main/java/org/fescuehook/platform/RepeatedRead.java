package org.fescuehook.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;

/**
 * A read of the store that is requested again, concurrently with the earlier requests, while its
 * answer is late. Its outcome is the first answer: reads have no side effects, so any answer
 * serves.
 *
 * <p>A late request is not cancelled at once, as a slow store would answer a new request no sooner.
 * If the connection has stopped responding instead, the next request uses another one.
 */
final class RepeatedRead {

  /**
   * Time within which no answer counts as late. A large answer may occupy the same network link
   * first.
   */
  static final Duration NEVER_LATE = Duration.ofMillis(700);

  /** Longest time to the outcome, in addition to the wait that the read requests from the store. */
  static final Duration TIMEOUT = Duration.ofSeconds(10);

  /**
   * Limit on open requests. The first one is kept, as a slow store answers it first, and the
   * newest.
   */
  private static final int MAX_OPEN_REQUESTS = 3;

  /** Longest gap between parts of an answer before the answer counts as late. */
  private static final Duration MAX_ANSWER_GAP = Duration.ofMillis(700);

  private final Link link;
  private final ResponseTimeEstimator times;
  private final Duration wait;
  private final Listener listener;
  private final long startedAtNanos;
  private final List<ReadRequest> open = new ArrayList<>();
  private boolean ended;

  /** Sends the requests of a read to the store. All calls and callbacks are made on one thread. */
  interface Link {

    /** Returns the monotonic time in nanoseconds. */
    long nowNanos();

    /**
     * Sends one request.
     *
     * @param wait how long the store may wait for a record
     * @param limit longest time to the complete answer
     * @param sink called once with the outcome of the request
     */
    InFlightRead send(Duration wait, Duration limit, Consumer<ReadOutcome> sink);

    /** Runs an action after a delay. */
    void after(Duration delay, Runnable action);

    /** A request that has not been answered. */
    interface InFlightRead {

      /** Returns whether a part of the answer has arrived within the given last period. */
      boolean heardWithin(Duration time);

      /**
       * Returns the time from the request to the first part of the answer; undefined before that
       * part has arrived.
       */
      long firstPartNanos();

      /** Abandons the request; its sink is not called afterwards. */
      void giveUp();
    }
  }

  /** Receives the progress and the outcome of a read. */
  interface Listener {

    /**
     * Called before each repeated request, as no answer has arrived in the usual time.
     *
     * @param time time since the read began
     */
    void late(Duration time);

    /** Called once with the outcome of the read. */
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
   * Begins a read and sends its first request.
   *
   * @param times the response times of reads; the answer adds its own
   * @param wait how long the store may wait for a record
   */
  static RepeatedRead begin(
      Link link, ResponseTimeEstimator times, Duration wait, Listener listener) {
    RepeatedRead read = new RepeatedRead(link, times, wait, listener);
    read.sendRequest(wait);
    return read;
  }

  /** Cancels the read without an outcome. */
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
    link.after(storeWait.plus(times.lateAfter()), this::repeatIfLate);
  }

  private void repeatIfLate() {
    if (ended || age().plus(times.lateAfter()).compareTo(TIMEOUT.plus(wait)) > 0) {
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
    // Requests what the store has now; the first request still waits for the next record.
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
    // An answer within the wait was triggered by a new record, so it says nothing about the store's
    // response time.
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

  /** One request to the store with the wait that it asks for. */
  private static final class ReadRequest {
    private final Duration wait;
    private Link.InFlightRead inFlight;

    ReadRequest(Duration wait) {
      this.wait = wait;
    }
  }
}
