package org.fescuehook.logic.batch.advice;

import java.util.List;
import java.util.stream.Stream;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.fleet.Incarnation;

/**
 * Tickets that a plan lacks to start tasks of a step.
 *
 * @param step the step
 * @param intended executors on which the plan would place its tasks
 * @param alternatives other executors that suit the tasks, in case the intended ones are forbidden
 * @param together whether the plan is of use only while all tickets are valid at the same time
 */
public record AdviceNeed(
    StepProgress step,
    List<Incarnation> intended,
    List<Incarnation> alternatives,
    boolean together) {

  /** Copies the lists. */
  public AdviceNeed {
    intended = List.copyOf(intended);
    alternatives = List.copyOf(alternatives);
  }

  /** Returns the needs of two groups of tasks of one step. */
  AdviceNeed and(AdviceNeed other) {
    return new AdviceNeed(
        step,
        joined(intended, other.intended),
        joined(alternatives, other.alternatives),
        together || other.together);
  }

  private static List<Incarnation> joined(List<Incarnation> first, List<Incarnation> second) {
    return Stream.concat(first.stream(), second.stream()).distinct().toList();
  }
}
