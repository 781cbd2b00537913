package org.fescuehook.logic.batch.state;

import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.model.batch.RunEnd;

/** Counts wasted work by its cause, as time of one core; an accelerator counts as eight cores. */
final class WastedWork {

  private WastedWork() {}

  /** Counts the work of a run that ended. */
  static void ended(LiveRun run, RunEnd end, BatchContext context) {
    switch (end) {
      case DONE -> {}
      case FAILED -> count(run, WasteCause.FAILED, context);
      case LEASE_EXPIRED -> count(run, WasteCause.LEASE_EXPIRED, context);
      case STOPPED -> count(run, run.wasteCause().orElse(WasteCause.OTHER), context);
      case GANG_BROKEN, GANG_INCOMPLETE ->
          count(run, run.wasteCause().orElse(WasteCause.GANG_BROKEN), context);
    }
  }

  /** Counts the work of a run that was lost. */
  static void lost(LiveRun run, BatchContext context) {
    count(run, WasteCause.LOST, context);
  }

  private static void count(LiveRun run, WasteCause cause, BatchContext context) {
    OptionalLong since = run.unsavedSince();
    if (since.isEmpty() || run.step().spec().longRunning().isPresent()) {
      return;
    }
    double nanos = (context.nowNanos() - since.getAsLong()) * run.demand().coreEquivalents();
    context.add(
        new BatchCommand.Measure(
            "fescuehook.batch.wasted", "cause", cause.tag(), Math.max(0, Math.round(nanos))));
  }
}
