package org.fescuehook.logic.control.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.DecisionContext;

/** Answers requests to hand ownership over once that was read, or when it takes too long. */
public final class HandOverHandler {
  private static final Duration LONGEST_WAIT = Duration.ofSeconds(5);

  private record Waiter(long ticket, long sinceNanos) {}

  private final List<Waiter> waiters = new ArrayList<>();

  /** Takes a request. */
  public void take(long ticket, DecisionContext turn) {
    waiters.add(new Waiter(ticket, turn.now()));
  }

  /** Answers if ownership is given up; without the log, others take it over by its timeout. */
  public void step(boolean handedOver, DecisionContext turn) {
    List<Waiter> waiting = new ArrayList<>(waiters);
    for (Waiter waiter : waiting) {
      if (handedOver || turn.passed(waiter.sinceNanos(), LONGEST_WAIT)) {
        waiters.remove(waiter);
        turn.reply(waiter.ticket(), new Answer.Done());
      }
    }
  }
}
