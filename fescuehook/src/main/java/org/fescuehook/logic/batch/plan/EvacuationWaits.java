package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;

/**
 * Logs, once for each step, that it waits since it fits only if executors of evacuated failure
 * domains are used as well.
 */
final class EvacuationWaits {

  /** The check counts the whole fleet for each waiting step, which is too costly for each plan. */
  private static final long CHECK_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

  private final Set<StepProgress> logged = Collections.newSetFromMap(new IdentityHashMap<>());
  private long checkedAt;

  EvacuationWaits(long nowNanos) {
    this.checkedAt = nowNanos - CHECK_INTERVAL_NANOS;
  }

  /**
   * Checks the steps that wait.
   *
   * @param executors all executors known
   * @param usable those on which new runs may be placed
   */
  void check(
      List<WaitingStep> waiting,
      Collection<ExecutorState> executors,
      List<ExecutorState> usable,
      BatchContext context) {
    if (executors.stream().noneMatch(ExecutorState::evacuated)) {
      logged.clear();
      return;
    }
    if (context.nowNanos() - checkedAt < CHECK_INTERVAL_NANOS) {
      return;
    }
    checkedAt = context.nowNanos();
    List<ExecutorState> onceGivenBack =
        executors.stream()
            .filter(executor -> executor.usableOnceGivenBack(context.nowNanos()))
            .toList();
    FleetCapacity now = total(usable, context);
    FleetCapacity later = total(onceGivenBack, context);
    for (WaitingStep step : waiting) {
      if (!fits(step, now) && fits(step, later) && logged.add(step.step())) {
        context.note(
            BatchLogEvent.WAITS_FOR_EVACUATED_DOMAIN,
            step.step().job().job().id(),
            step.step().number(),
            step.startsTogether());
      }
    }
  }

  private static FleetCapacity total(List<ExecutorState> executors, BatchContext context) {
    return FleetCapacity.total(
        executors, new PlannedTasks(), SchedulingStatistics.none(), context.nowNanos());
  }

  private static boolean fits(WaitingStep step, FleetCapacity capacity) {
    return capacity.tightestGroup(step, step.startsTogether(), false).isPresent();
  }
}
