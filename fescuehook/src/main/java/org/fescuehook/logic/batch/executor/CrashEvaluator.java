package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.model.batch.BatchStep;

/**
 * Evaluates which runs may have caused the loss of their executor. Executors also fail for other
 * reasons, so the evidence depends on how soon after its start a run was lost and on what else ran
 * there.
 */
public final class CrashEvaluator {

  /**
   * Age of a run above which the crash of its executor is hardly evidence against it. Executors
   * that fail for other reasons rarely do so just after a certain start. The time covers the polls
   * that notice a silent executor, which take up to 1.4 s.
   */
  private static final Duration EARLY_CRASH = Duration.ofSeconds(2);

  private CrashEvaluator() {}

  /** How the loss of an executor was detected. */
  enum Loss {
    /** Another incarnation of the executor answers, so this one has crashed. */
    RESTARTED,
    /** The executor was silent until its leases had expired: it has crashed, or is cut off. */
    SILENT
  }

  /**
   * How an incarnation of an executor was lost.
   *
   * @param lostAt latest time at which it was lost, monotonic
   * @param leaving whether it was about to leave
   * @param recentlyCrashed whether it had crashed shortly before, so that it may have crashed again
   *     on its own
   */
  record LossDetails(Loss loss, long lostAt, boolean leaving, boolean recentlyCrashed) {

    /** Describes the loss of the current incarnation of an executor. */
    static LossDetails of(ExecutorState executor, Loss loss, BatchContext context) {
      return new LossDetails(
          loss,
          executor.silentSince().orElse(context.nowNanos()),
          executor.profile().leaving(),
          executor.recentlyRestarted(context.nowNanos()));
    }

    /** Describes the loss of the previous incarnation, which this owner may never have polled. */
    static LossDetails ofPreviousIncarnation(ExecutorState executor, BatchContext context) {
      return executor
          .previousIncarnation()
          .map(
              previous ->
                  new LossDetails(
                      Loss.RESTARTED,
                      previous.endedAt(),
                      previous.leaving(),
                      previous.recentlyCrashed()))
          .orElseGet(() -> new LossDetails(Loss.RESTARTED, context.nowNanos(), false, false));
    }
  }

  /** Evaluates all runs on a lost executor. */
  static Map<LiveRun, CrashEvidence> evaluate(LossDetails loss, List<LiveRun> runs) {
    Map<LiveRun, CrashEvidence> evidence = new LinkedHashMap<>();
    for (LiveRun run : runs) {
      boolean alone = runs.size() == 1 && !loss.recentlyCrashed();
      evidence.put(run, evaluate(loss, run, alone));
    }
    return evidence;
  }

  private static CrashEvidence evaluate(LossDetails loss, LiveRun run, boolean alone) {
    boolean neverStarted = run.startOrderedAt().isEmpty() && !run.inherited();
    if (loss.leaving() || neverStarted) {
      return CrashEvidence.NONE;
    }
    boolean crashed = loss.loss() == Loss.RESTARTED && run.seenRunning();
    long lostAt = loss.lostAt();
    if (crashed && within(run.startOrderedAt(), lostAt, earlyCrashNanos(run))) {
      return alone ? CrashEvidence.STRONG_ALONE : CrashEvidence.STRONG;
    }
    // A long-running task outlives many executors, and any of them may fail on its own.
    boolean lasting = run.step().spec().longRunning().isPresent();
    boolean ranLong =
        run.seenRunning() && !within(run.runningSince(), lostAt, EARLY_CRASH.toNanos());
    if (lasting && ranLong) {
      return CrashEvidence.NONE;
    }
    if (loss.loss() == Loss.SILENT) {
      return CrashEvidence.UNRESOLVED;
    }
    return crashed ? CrashEvidence.WEAK : CrashEvidence.DOUBTFUL;
  }

  /**
   * Returns the age up to which a run counts as just started. A run that has worked for half of its
   * estimated duration may have ended before its executor was lost.
   */
  private static long earlyCrashNanos(LiveRun run) {
    BatchStep spec = run.step().spec();
    if (spec.longRunning().isPresent()) {
      return EARLY_CRASH.toNanos();
    }
    return Math.min(
        EARLY_CRASH.toNanos(), TimeUnit.MILLISECONDS.toNanos(spec.estimateMillis()) / 2);
  }

  private static boolean within(OptionalLong since, long nowNanos, long longestNanos) {
    return since.isPresent() && nowNanos - since.getAsLong() <= longestNanos;
  }

  /**
   * Tells whether a run that is suspected of crashing executors started too recently to be cleared.
   * Nothing else should start next to it meanwhile.
   */
  public static boolean onProbation(LiveRun run, long nowNanos) {
    if (!run.mayCrash()) {
      return false;
    }
    OptionalLong since = run.inherited() ? OptionalLong.of(run.placedAt()) : run.startOrderedAt();
    return run.stage() == Stage.PLACED || within(since, nowNanos, EARLY_CRASH.toNanos());
  }
}
