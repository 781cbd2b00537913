package org.fescuehook.logic.batch.maintenance;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.executor.ExecutorRegistry;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;

/**
 * What runs on a machine, and how soon it is idle if its executor gets no new runs.
 *
 * @param idleInMillis time until the last run that is not moved has ended
 * @param movable runs that are moved, since they continue elsewhere from a checkpoint, or since
 *     their step tolerates that one of its tasks is away
 */
record MachineLoad(long idleInMillis, List<LiveRun> movable) {

  /** Longest time that a stop usually takes. */
  private static final long STOP_MILLIS = 1000;

  /** A run that saves checkpoints is moved if it would be the last one by more than this. */
  private static final long MOVE_GAIN_MILLIS = 1000;

  /** A time after any other one; for machines that cannot become idle at present. */
  private static final long NEVER_MILLIS = 1_000_000;

  private static final MachineLoad UNKNOWN = new MachineLoad(NEVER_MILLIS, List.of());

  /** Returns the load of an executor; one that the owner does not know may run anything. */
  static MachineLoad of(Optional<ExecutorState> executor, ExecutorRegistry registry) {
    return executor.map(known -> of(known, registry)).orElse(UNKNOWN);
  }

  private static MachineLoad of(ExecutorState executor, ExecutorRegistry registry) {
    long idleIn = executor.hasUnknownRuns() ? STOP_MILLIS : 0;
    for (LiveRun run : executor.runs()) {
      if (!movesFromCheckpoint(run)) {
        idleIn = Math.max(idleIn, endsIn(run, registry));
      }
    }
    long lastStays = idleIn;
    List<LiveRun> movable =
        executor.runs().stream().filter(run -> moves(run, lastStays, registry)).toList();
    for (LiveRun run : executor.runs()) {
      long ends = movable.contains(run) ? STOP_MILLIS : endsIn(run, registry);
      idleIn = Math.max(idleIn, ends);
    }
    return new MachineLoad(idleIn, movable);
  }

  private static boolean movesFromCheckpoint(LiveRun run) {
    return run.step().spec().checkpointing() && !run.step().spec().gang();
  }

  private static boolean moves(LiveRun run, long lastStaysMillis, ExecutorRegistry registry) {
    if (run.stage() != Stage.RUNNING) {
      return false;
    }
    if (run.step().spec().longRunning().isPresent()) {
      return mayBeStopped(run, registry);
    }
    long gain = run.estimatedLeftMillis() - Math.max(STOP_MILLIS, lastStaysMillis);
    return movesFromCheckpoint(run) && gain > MOVE_GAIN_MILLIS;
  }

  private static long endsIn(LiveRun run, ExecutorRegistry registry) {
    if (run.stage() == Stage.STOPPING) {
      return STOP_MILLIS;
    }
    if (run.step().spec().longRunning().isPresent()) {
      return mayBeStopped(run, registry) ? STOP_MILLIS : NEVER_MILLIS;
    }
    return Math.max(1, run.estimatedLeftMillis());
  }

  /**
   * Tells whether a run may be stopped without more tasks of a long-running step away from work
   * than it tolerates. A task whose executor does not answer counts as away.
   */
  static boolean mayBeStopped(LiveRun run, ExecutorRegistry registry) {
    StepProgress step = run.step();
    if (step.spec().longRunning().isEmpty()) {
      return true;
    }
    long unreachable =
        step.liveRuns().stream()
            .filter(LiveRun::atWork)
            .filter(other -> unreachable(other, registry))
            .count();
    return step.disruptionsAllowed() - unreachable > 0;
  }

  private static boolean unreachable(LiveRun run, ExecutorRegistry registry) {
    return registry.find(run.executor()).filter(state -> state.missedPolls() == 0).isEmpty();
  }
}
