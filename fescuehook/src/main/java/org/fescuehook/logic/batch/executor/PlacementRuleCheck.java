package org.fescuehook.logic.batch.executor;

import java.util.Optional;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.batch.BatchStep.PlacementRule;

/**
 * Reports runs that an executor has started although a placement rule of their step does not allow
 * them there. The planner prevents that; a report shows a fault of the scheduler.
 */
final class PlacementRuleCheck {

  private PlacementRuleCheck() {}

  /** Checks a run that its executor is now known to have started. */
  static void check(ExecutorState executor, LiveRun run, BatchContext context) {
    PlacementRule rule = run.step().spec().placement();
    if (rule.maxPerExecutor() > 0) {
      checkLimit(executor, run, rule.maxPerExecutor(), context);
    }
    Optional<String> label = rule.label();
    if (label.isPresent() && !executor.profile().labels().contains(label.get())) {
      report(run, "label", "the executor has no label " + label.get(), context);
    }
  }

  private static void checkLimit(
      ExecutorState executor, LiveRun run, int limit, BatchContext context) {
    long tasks =
        executor.runs().stream()
            .filter(other -> other.step() == run.step() && other.seenRunning())
            .count();
    if (tasks > limit) {
      String detail = tasks + " of its tasks run there, limit " + limit;
      report(run, "max-per-executor", detail, context);
    }
  }

  private static void report(LiveRun run, String rule, String detail, BatchContext context) {
    context.note(BatchLogEvent.PLACEMENT_RULE_BROKEN, run.run(), run.incarnation(), detail);
    context.count("fescuehook.batch.placement.rules.broken", "rule", rule);
  }
}
