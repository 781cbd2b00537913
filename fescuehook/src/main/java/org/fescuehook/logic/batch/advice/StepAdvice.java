package org.fescuehook.logic.batch.advice;

import java.util.Set;
import org.fescuehook.model.fleet.Incarnation;

/** On which executors a step that needs external advice may be placed. */
public sealed interface StepAdvice {

  /**
   * A placement that starts now: it needs a valid ticket.
   *
   * @param permitted executors with a valid ticket
   * @param forbidden executors on which the step may never run
   */
  record Ticketed(Set<Incarnation> permitted, Set<Incarnation> forbidden) implements StepAdvice {

    /** Copies the sets. */
    public Ticketed {
      permitted = Set.copyOf(permitted);
      forbidden = Set.copyOf(forbidden);
    }
  }

  /**
   * A placement for which tickets can still be requested.
   *
   * @param forbidden executors on which the step may never run
   */
  record Anticipated(Set<Incarnation> forbidden) implements StepAdvice {

    /** Copies the set. */
    public Anticipated {
      forbidden = Set.copyOf(forbidden);
    }
  }

  /** Tells whether the step may be placed on an executor. */
  default boolean permits(Incarnation executor) {
    return switch (this) {
      case Ticketed(var permitted, var _) -> permitted.contains(executor);
      case Anticipated(var forbidden) -> !forbidden.contains(executor);
    };
  }

  /** Returns the executors on which the step may never run. */
  Set<Incarnation> forbidden();
}
