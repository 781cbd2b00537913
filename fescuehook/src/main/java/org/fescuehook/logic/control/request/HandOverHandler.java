package org.fescuehook.logic.control.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.DecisionContext;

/**
 * Answers requests to hand ownership over as soon as the release was read back, or after a timeout.
 */
public final class HandOverHandler {
  /** Longest time that a request waits for the release of ownership. */
  private static final Duration MAX_WAIT = Duration.ofSeconds(5);

  private record Waiter(long ticket, long sinceNanos) {}

  private final List<Waiter> waiters = new ArrayList<>();

  /** Accepts a request. */
  public void accept(long ticket, DecisionContext context) {
    waiters.add(new Waiter(ticket, context.nowNanos()));
  }

  /**
   * Answers the requests if ownership was released or their wait timed out. If the log is
   * unreachable, another VM takes over after the owner timeout.
   */
  public void step(boolean handedOver, DecisionContext context) {
    List<Waiter> waiting = new ArrayList<>(waiters);
    for (Waiter waiter : waiting) {
      if (handedOver || context.hasElapsed(waiter.sinceNanos(), MAX_WAIT)) {
        waiters.remove(waiter);
        context.reply(waiter.ticket(), new Answer.Done());
      }
    }
  }
}
