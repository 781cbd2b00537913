package org.fescuehook.logic.batch.advice;

import java.util.Map;
import org.fescuehook.model.fleet.ExecutorId;

/** The outcome of a request to the advice service. */
public sealed interface AdviceOutcome {

  /**
   * The service answered.
   *
   * @param tickets the executors that may run the step, each with the ticket that a start there has
   *     to carry
   * @param validMillis how long the tickets are valid from now on
   */
  record Given(Map<ExecutorId, String> tickets, long validMillis) implements AdviceOutcome {

    /** Copies the map. */
    public Given {
      tickets = Map.copyOf(tickets);
    }
  }

  /** The service did not answer, or has too many waiting requests; the request can be retried. */
  record Unavailable(String reason) implements AdviceOutcome {}
}
