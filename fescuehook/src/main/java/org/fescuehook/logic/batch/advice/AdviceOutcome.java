package org.fescuehook.logic.batch.advice;

import java.util.Map;
import org.fescuehook.model.fleet.ExecutorId;

/** What became of a question to the advice service. */
public sealed interface AdviceOutcome {

  /**
   * It answered.
   *
   * @param tickets the executors that may run the step, with what a start there has to carry
   * @param validMillis how long the tickets hold from now on
   */
  record Given(Map<ExecutorId, String> tickets, long validMillis) implements AdviceOutcome {

    /** Copies the map. */
    public Given {
      tickets = Map.copyOf(tickets);
    }
  }

  /** It did not answer, or has too many questions waiting; it can be asked again. */
  record Unavailable(String reason) implements AdviceOutcome {}
}
