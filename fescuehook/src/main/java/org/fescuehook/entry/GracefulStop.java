package org.fescuehook.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.fescuehook.logic.control.ControlPort;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.model.preferences.MembershipPreferences;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.net.caller.RequestPath;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Performs the graceful stop: drains the VM, waits until all requests are answered and hands over
 * ownership.
 */
final class GracefulStop {

  private static final Logger LOGGER = LoggerFactory.getLogger(GracefulStop.class);
  private static final Duration IN_FLIGHT_POLL_INTERVAL = Duration.ofMillis(10);
  private static final Duration IDLE_LIMIT = Duration.ofMillis(500);
  private static final Duration QUIET_PERIOD = Duration.ofMillis(1500);
  private static final Duration HAND_OVER_TIMEOUT = Duration.ofSeconds(5);

  private final MembershipPreferences preferences;
  private final VmState state;
  private final RequestPath requests;
  private final ControlPort control;
  private final CountDownLatch neverReleased = new CountDownLatch(1);

  GracefulStop(
      MembershipPreferences preferences, VmState state, RequestPath requests, ControlPort control) {
    this.preferences = preferences;
    this.state = state;
    this.requests = requests;
    this.control = control;
  }

  /** Performs all steps. Blocks the calling thread, at most up to the configured limits. */
  void run() throws InterruptedException {
    EventLog.info(LOGGER, EntryEvent.STOP_BEGAN);
    state.setDraining();
    sleep(preferences.drainDelay());
    requests.ready(false, RefusalReason.DRAINING);
    requests.drain(IDLE_LIMIT);
    EventLog.info(LOGGER, EntryEvent.DRAINING, requests.inFlight());
    awaitAnswers();
    handOver();
  }

  /**
   * Waits until no request has been in flight for the quiet period, or the drain limit has passed.
   * During the quiet period, a kept-alive connection either gets the answer that tells it to close,
   * or is closed as idle.
   */
  private void awaitAnswers() throws InterruptedException {
    long deadline = System.nanoTime() + preferences.drainLimit().toNanos();
    long quietSince = System.nanoTime();
    while (System.nanoTime() - quietSince < QUIET_PERIOD.toNanos()) {
      int inFlight = requests.inFlight();
      if (System.nanoTime() - deadline >= 0) {
        warnOfLimit(inFlight);
        return;
      }
      if (inFlight > 0) {
        quietSince = System.nanoTime();
      }
      sleep(IN_FLIGHT_POLL_INTERVAL);
    }
  }

  private void warnOfLimit(int inFlight) {
    if (inFlight > 0) {
      EventLog.warn(LOGGER, EntryEvent.DRAIN_LIMIT, preferences.drainLimit().toMillis(), inFlight);
    }
  }

  private void handOver() throws InterruptedException {
    CompletableFuture<ControlPort.Answer> done = new CompletableFuture<>();
    if (!control.offer(new ControlPort.Request.HandOver(), done::complete)) {
      EventLog.warn(LOGGER, EntryEvent.HANDED_OVER, "refused, the decision ring is full");
      return;
    }
    try {
      ControlPort.Answer answer = done.get(HAND_OVER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      EventLog.info(LOGGER, EntryEvent.HANDED_OVER, answer);
    } catch (TimeoutException | ExecutionException e) {
      EventLog.warn(LOGGER, EntryEvent.HANDED_OVER, "no answer");
    }
  }

  private void sleep(Duration duration) throws InterruptedException {
    neverReleased.await(duration.toNanos(), TimeUnit.NANOSECONDS);
  }
}
