package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;

/** When runs are expected to end, and how long waiting tasks are expected to run. */
final class ExpectedEnds {

  private final Collection<ExecutorState> executors;
  private final long nowNanos;
  private final long latestNanos;
  private Optional<List<End>> ends = Optional.empty();

  /**
   * Creates the expectations of one plan.
   *
   * @param horizonNanos how far ahead ends are of interest
   */
  ExpectedEnds(Collection<ExecutorState> executors, long nowNanos, long horizonNanos) {
    this.executors = executors;
    this.nowNanos = nowNanos;
    this.latestNanos = nowNanos + horizonNanos;
  }

  /**
   * The expected end of a run.
   *
   * @param atNanos monotonic time
   */
  record End(LiveRun run, ExecutorState executor, long atNanos) {}

  /**
   * Returns the expected ends up to the horizon, earliest first. Tasks that run until their job is
   * cancelled are left out. The list is made when it is needed first.
   */
  List<End> earliestFirst() {
    if (ends.isEmpty()) {
      List<End> found = new ArrayList<>();
      for (ExecutorState executor : executors) {
        for (LiveRun run : executor.runs()) {
          long at = nowNanos + leftNanos(run);
          if (at <= latestNanos && run.step().spec().longRunning().isEmpty()) {
            found.add(new End(run, executor, at));
          }
        }
      }
      found.sort(Comparator.comparingLong(End::atNanos));
      ends = Optional.of(found);
    }
    return ends.get();
  }

  private static long leftNanos(LiveRun run) {
    return run.stage() == Stage.STOPPING
        ? 0
        : TimeUnit.MILLISECONDS.toNanos(run.estimatedLeftMillis());
  }

  /** Returns when a step is expected to end if it starts now; it never ends if it is lasting. */
  long endIfStartedNow(WaitingStep waiting) {
    if (waiting.step().spec().longRunning().isPresent()) {
      return Long.MAX_VALUE;
    }
    return nowNanos + TimeUnit.MILLISECONDS.toNanos(waiting.step().spec().estimateMillis());
  }
}
