package org.fescuehook.logic.batch.statistics;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.fleet.ExecutorId;

/** Where runs of one step have failed, and what that was counted against the executors. */
final class StepFailures {

  /**
   * Time within which a run fails on a faulty executor. One that has run for longer may have failed
   * because its executor became faulty meanwhile.
   */
  private static final long FAILS_WITHIN_NANOS = Duration.ofSeconds(1).toNanos();

  private final StepProgress step;
  private final Map<Integer, Set<ExecutorId>> executorsByTask = new HashMap<>();
  private final Map<ExecutorId, Double> charged = new HashMap<>();
  private OptionalLong newestFault = OptionalLong.empty();
  private boolean blamed;

  StepFailures(StepProgress step) {
    this.step = step;
  }

  /** Records a failed run; a gang counts as one task. */
  void failed(LiveRun run, long startedAt, long nowNanos) {
    int task = step.spec().gang() ? 0 : run.run().task().index();
    executorsByTask.computeIfAbsent(task, index -> new HashSet<>()).add(run.executor());
    newestFault = OptionalLong.of(faultAt(startedAt, nowNanos));
  }

  /** Returns when the fault was present that a run shows which has failed now. */
  static long faultAt(long startedAt, long nowNanos) {
    long recently = nowNanos - FAILS_WITHIN_NANOS;
    return startedAt - recently > 0 ? startedAt : recently;
  }

  /** Returns the executors on which a task has failed; for a gang, any member. */
  Set<ExecutorId> executorsOfTask(int index) {
    return executorsByTask.getOrDefault(step.spec().gang() ? 0 : index, Set.of());
  }

  /** Returns the executors on which any task has failed. */
  Set<ExecutorId> executors() {
    Set<ExecutorId> executors = new HashSet<>();
    executorsByTask.values().forEach(executors::addAll);
    return executors;
  }

  /** Tells whether more tasks have failed than are done or running. */
  boolean mostlyFails() {
    int done = step.spec().count() - step.remaining();
    return executorsByTask.size() > done + step.liveRuns().size();
  }

  /**
   * Returns when the fault that the last failure may have shown was present, monotonic time; empty
   * if no run failed.
   */
  OptionalLong newestFault() {
    return newestFault;
  }

  /** Returns what was counted against an executor because of this step. */
  double charged(ExecutorId executor) {
    return charged.getOrDefault(executor, 0.0);
  }

  void charge(ExecutorId executor, double weight) {
    charged.put(executor, weight);
  }

  /** Returns what was counted against executors, which from now on is nothing. */
  Map<ExecutorId, Double> takeCharges() {
    Map<ExecutorId, Double> taken = Map.copyOf(charged);
    charged.clear();
    return taken;
  }

  /** Marks the step as the cause of its failures; returns true at the first call only. */
  boolean markBlamed() {
    boolean first = !blamed;
    blamed = true;
    return first;
  }
}
