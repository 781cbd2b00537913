package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.model.batch.BatchStep;

/**
 * Judges which runs may have caused the loss of their executor. Executors are also lost by
 * themselves, so what counts is how soon after its start a run was lost, and what ran beside it.
 */
public final class CrashEvaluator {

  /**
   * Age of a run above which the crash of its executor hardly speaks against it. Executors that are
   * lost by themselves rarely are so just after a certain start, and a silent one is noticed by
   * polls, which take up to 1.4 s.
   */
  private static final Duration SOON = Duration.ofSeconds(2);

  private CrashEvaluator() {}

  /** How the loss of an executor is known. */
  enum Loss {
    /** Another life of it answers: it has crashed. */
    RESTARTED,
    /** It was silent until its leases had expired: it has crashed, or is cut off. */
    SILENT
  }

  /**
   * How an executor, or a former life of it, was lost.
   *
   * @param lostAt when it was lost at the latest, monotonic time
   * @param leaving whether it was about to leave
   * @param crashedLately whether it had crashed not long before, and so may have by itself
   */
  record LossDetails(Loss loss, long lostAt, boolean leaving, boolean crashedLately) {

    /** The loss of the present life of an executor. */
    static LossDetails of(ExecutorState executor, Loss loss, BatchTurn turn) {
      return new LossDetails(
          loss,
          executor.silentSince().orElse(turn.nowNanos()),
          executor.profile().leaving(),
          executor.restartedLately(turn.nowNanos()));
    }

    /** The loss of a former life; this owner may not have met that one. */
    static LossDetails ofFormerLife(ExecutorState executor, BatchTurn turn) {
      return executor
          .formerLife()
          .map(
              former ->
                  new LossDetails(
                      Loss.RESTARTED, former.endedAt(), former.leaving(), former.crashedLately()))
          .orElseGet(() -> new LossDetails(Loss.RESTARTED, turn.nowNanos(), false, false));
    }
  }

  /** Judges all runs of an executor that is lost. */
  static Map<LiveRun, CrashEvidence> judge(LossDetails loss, List<LiveRun> runs) {
    Map<LiveRun, CrashEvidence> evidence = new LinkedHashMap<>();
    for (LiveRun run : runs) {
      boolean alone = runs.size() == 1 && !loss.crashedLately();
      evidence.put(run, judge(loss, run, alone));
    }
    return evidence;
  }

  private static CrashEvidence judge(LossDetails loss, LiveRun run, boolean alone) {
    boolean neverStarted = run.startOrderedAt().isEmpty() && !run.inherited();
    if (loss.leaving() || neverStarted) {
      return CrashEvidence.NONE;
    }
    boolean crashed = loss.loss() == Loss.RESTARTED && run.seenRunning();
    long lostAt = loss.lostAt();
    if (crashed && within(run.startOrderedAt(), lostAt, soonNanos(run))) {
      return alone ? CrashEvidence.STRONG_ALONE : CrashEvidence.STRONG;
    }
    // A task that lasts outlives many executors, and any of them may be lost by itself.
    boolean lasting = run.step().spec().lasting().isPresent();
    boolean longAtWork = run.seenRunning() && !within(run.runningSince(), lostAt, SOON.toNanos());
    if (lasting && longAtWork) {
      return CrashEvidence.NONE;
    }
    return crashed ? CrashEvidence.WEAK : CrashEvidence.DOUBTFUL;
  }

  /** A run that has worked for half of its estimate may have ended before its executor was lost. */
  private static long soonNanos(LiveRun run) {
    BatchStep spec = run.step().spec();
    if (spec.lasting().isPresent()) {
      return SOON.toNanos();
    }
    return Math.min(SOON.toNanos(), TimeUnit.MILLISECONDS.toNanos(spec.estimateMillis()) / 2);
  }

  private static boolean within(OptionalLong since, long nowNanos, long longestNanos) {
    return since.isPresent() && nowNanos - since.getAsLong() <= longestNanos;
  }

  /**
   * Tells whether a run that may crash its executor has not shown yet that it does not, so that
   * nothing else should start beside it.
   */
  public static boolean onProbation(LiveRun run, long nowNanos) {
    if (!run.mayCrash()) {
      return false;
    }
    OptionalLong since = run.inherited() ? OptionalLong.of(run.placedAt()) : run.startOrderedAt();
    return run.stage() == Stage.PLACED || within(since, nowNanos, SOON.toNanos());
  }
}
