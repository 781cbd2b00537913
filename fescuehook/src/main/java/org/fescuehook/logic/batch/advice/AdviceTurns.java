package org.fescuehook.logic.batch.advice;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.fescuehook.logic.batch.state.StepProgress;

/**
 * Decides about which step the advice service is asked next. Half of the time of the service goes
 * to the step that is planned first, and the other half to the step that has used the least of it,
 * so that no step is kept waiting by others whose calls are slow, fail or have to be repeated.
 *
 * <p>The second rule is start-time fair queueing: the time used by a step that becomes known counts
 * from the least time used by the steps that wait.
 */
final class AdviceTurns {

  /** Service time used, in nanoseconds, and the order in which the steps became known. */
  private record Usage(long nanos, long order) {
    boolean isLessThan(Usage other) {
      return nanos != other.nanos ? nanos < other.nanos : order < other.order;
    }
  }

  private enum Rule {
    FIRST_PLANNED,
    LEAST_SERVED,
    BOTH
  }

  private final Map<StepProgress, Usage> usages = new IdentityHashMap<>();
  private long leastNanos;
  private long known;

  /** Service time that the first rule has used beyond the second one. */
  private long leadNanos;

  private Rule rule = Rule.BOTH;

  /**
   * Chooses the step of the next call.
   *
   * @param steps the steps that need a call, at least one, in the order of planning
   */
  StepProgress next(List<StepProgress> steps) {
    StepProgress leastServed = leastServed(steps);
    leastNanos = usages.get(leastServed).nanos();
    StepProgress first = steps.getFirst();
    if (first == leastServed) {
      rule = Rule.BOTH;
      return first;
    }
    rule = leadNanos > 0 ? Rule.LEAST_SERVED : Rule.FIRST_PLANNED;
    return rule == Rule.LEAST_SERVED ? leastServed : first;
  }

  private StepProgress leastServed(List<StepProgress> steps) {
    StepProgress least = steps.getFirst();
    for (StepProgress step : steps) {
      Usage usage = usages.computeIfAbsent(step, same -> new Usage(leastNanos, known++));
      if (usage.nanos() < leastNanos) {
        usages.put(step, new Usage(leastNanos, usage.order()));
      }
      if (usages.get(step).isLessThan(usages.get(least))) {
        least = step;
      }
    }
    return least;
  }

  /** Records how long the service was occupied by the call that was chosen last. */
  void served(StepProgress step, long nanos) {
    Usage usage = usages.get(step);
    if (usage != null) {
      usages.put(step, new Usage(usage.nanos() + nanos, usage.order()));
    }
    switch (rule) {
      case FIRST_PLANNED -> leadNanos += nanos;
      case LEAST_SERVED -> leadNanos -= nanos;
      case BOTH -> {}
    }
  }

  /** Forgets the steps that meet a condition. */
  void forget(Predicate<StepProgress> condition) {
    usages.keySet().removeIf(condition);
  }
}
