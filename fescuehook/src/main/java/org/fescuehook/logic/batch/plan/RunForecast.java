package org.fescuehook.logic.batch.plan;

import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.statistics.RunTimes;

/** The expected ends of runs while a plan is made. Without learned run times it expects nothing. */
final class RunForecast {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /**
   * Time without progress after which the earlier progress of a run says nothing about its end: its
   * executor reports once a second and may hang.
   */
  private static final long MAX_STANDSTILL_NANOS = 1_500 * NANOS_PER_MILLI;

  private final RunTimes runTimes;
  private final Predicate<LiveRun> useless;
  private final long nowNanos;
  private final Map<LiveRun, Long> leftNanos = new IdentityHashMap<>();

  /**
   * Creates the forecast of one plan.
   *
   * @param useless tells whether the result of a run will come too late to be of any use
   */
  RunForecast(RunTimes runTimes, Predicate<LiveRun> useless, long nowNanos) {
    this.runTimes = runTimes;
    this.useless = useless;
    this.nowNanos = nowNanos;
  }

  boolean enabled() {
    return runTimes.enabled();
  }

  /** Returns the expected time until a run ends, or its estimate if nothing is known. */
  long leftNanos(LiveRun run) {
    return leftNanos.computeIfAbsent(
        run, live -> runTimes.expectedLeftMillis(live, nowNanos) * NANOS_PER_MILLI);
  }

  /**
   * Tells whether a run is expected to end by itself within a time, judged by its own recent
   * progress.
   */
  boolean endsWithin(LiveRun run, long nanos) {
    return enabled()
        && run.stage() == LiveRun.Stage.RUNNING
        && run.percent() > 0
        && nowNanos - run.advancedAt() < MAX_STANDSTILL_NANOS
        && run.step().spec().longRunning().isEmpty()
        && leftNanos(run) <= nanos;
  }

  /** Tells whether the result of a run will come too late to be of any use. */
  boolean useless(LiveRun run) {
    return enabled() && useless.test(run);
  }

  /** Returns how many times its expected duration a run has taken so far; 0 if unknown. */
  double overrun(LiveRun run) {
    return runTimes.overrun(run, nowNanos);
  }

  /** Returns the ratio of the expected to the estimated duration of a step's tasks. */
  double expectedRatio(WaitingStep waiting) {
    return runTimes.expectedRatio(waiting.step());
  }
}
