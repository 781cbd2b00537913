package org.fescuehook.logic.batch.plan;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
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
  private final long stopNanos;
  private final long nowNanos;
  private final Map<LiveRun, Long> leftNanos = new IdentityHashMap<>();
  private final Map<LiveRun, Boolean> uselessRuns = new IdentityHashMap<>();
  private final Map<StepProgress, Boolean> gangsThatEnd = new IdentityHashMap<>();

  /**
   * Creates the forecast of one plan.
   *
   * @param useless tells whether the result of a run will come too late to be of any use
   * @param stopNanos time until a stop frees the capacity of a run
   */
  RunForecast(RunTimes runTimes, Predicate<LiveRun> useless, long stopNanos, long nowNanos) {
    this.runTimes = runTimes;
    this.useless = useless;
    this.stopNanos = stopNanos;
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
   * Tells whether the work of a run, or of its whole gang, is done before a stop would free its
   * capacity. A run is trusted to end for one stop time only; after that it counts as any other.
   */
  boolean endsByItself(LiveRun run) {
    if (!enabled()) {
      return false;
    }
    return run.step().spec().gang()
        ? gangsThatEnd.computeIfAbsent(run.step(), gang -> endByThemselves(gang.liveRuns()))
        : endByThemselves(List.of(run));
  }

  private boolean endByThemselves(List<LiveRun> runs) {
    return !runs.isEmpty()
        && runs.stream().allMatch(this::endsSoon)
        && runs.stream().allMatch(run -> nowNanos - run.trustEnd(nowNanos) <= stopNanos);
  }

  private boolean endsSoon(LiveRun run) {
    if (run.stage() != LiveRun.Stage.RUNNING
        || nowNanos - run.percentChangedAt() >= MAX_STANDSTILL_NANOS
        || run.step().spec().longRunning().isPresent()) {
      return false;
    }
    OptionalLong left = runTimes.measuredLeftMillis(run, nowNanos);
    return left.isPresent() && left.getAsLong() * NANOS_PER_MILLI <= stopNanos;
  }

  /** Tells whether the result of a run will come too late to be of any use. */
  boolean useless(LiveRun run) {
    return enabled() && uselessRuns.computeIfAbsent(run, useless::test);
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
