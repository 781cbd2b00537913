package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Decides for how long the steps of a pool wait for a good placement before they take another. */
final class PlacementWaits {

  /**
   * Work that has waited this long while at least half of the pool is free may use the capacity
   * reserved for urgent work. Users accept capacity that is idle for at most 3 s while work waits.
   */
  static final long IDLE_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

  /**
   * How long other work waits for a placement near its data, in multiples of its estimated
   * duration. Elsewhere it takes three times as long and occupies its capacity for as long.
   */
  private static final int NEARNESS_WAIT_DURATIONS = 8;

  /**
   * Work that has waited this long in an idle pool may also start away from its data. The time
   * exceeds the duration of most jobs, since a start elsewhere after a shorter wait would still end
   * later than one near the data.
   */
  private static final long IDLE_NEARNESS_WAIT_NANOS = Duration.ofSeconds(12).toNanos();

  private final FleetCapacity available;
  private final FleetCapacity total;
  private final UnusableCapacity silent;
  private final UnusableCapacity unusable;
  private final RunForecast forecast;
  private final long guaranteedWaitNanos;

  /**
   * Creates the rule for a plan.
   *
   * @param available capacity that is free now, without what the plan has placed so far
   * @param total the whole capacity of the usable executors of the pool
   * @param silent capacity of its executors that do not answer
   * @param unusable capacity of all its executors that get no work, those that do not answer among
   *     them
   * @param guaranteedWaitNanos how long guaranteed work waits before its first start
   */
  PlacementWaits(
      FleetCapacity available,
      FleetCapacity total,
      UnusableCapacity silent,
      UnusableCapacity unusable,
      RunForecast forecast,
      long guaranteedWaitNanos) {
    this.available = available;
    this.total = total;
    this.silent = silent;
    this.unusable = unusable;
    this.forecast = forecast;
    this.guaranteedWaitNanos = guaranteedWaitNanos;
  }

  /**
   * Tells whether a step has to start near its data: this is possible, and it has not waited for
   * long.
   */
  boolean nearOnly(WaitingStep waiting) {
    if (mayStartAnywhere(waiting)) {
      return false;
    }
    WaitingStep soon = waiting.anticipatingAdvice().requiring(waiting.requirement().expectedSoon());
    return total.tightestGroup(soon, waiting.startsTogether(), true).isPresent();
  }

  /**
   * Tells whether a step has waited for some time although at most half of the pool is in use, as
   * users count it: executors that get no work at present count as well.
   */
  boolean serviceIdleFor(WaitingStep waiting, long nanos) {
    return waiting.timing().queuedNanos() > nanos && available.isHalfOf(total, unusable);
  }

  /** Tells whether guaranteed work has to start for the first time, wherever there is room. */
  boolean firstStartIsDue(WaitingStep waiting) {
    boolean firstStart = waiting.rank().guaranteed() && !waiting.step().job().begun();
    return firstStart && waiting.timing().waitedNanos() > guaranteedWaitNanos;
  }

  private boolean mayStartAnywhere(WaitingStep waiting) {
    StepTiming timing = waiting.timing();
    // Executors that rest or are evacuated have no capacity to spare for starts elsewhere.
    boolean idle = available.isHalfOf(total, silent);
    if (idle && timing.queuedNanos() > IDLE_NEARNESS_WAIT_NANOS) {
      return true;
    }
    if (firstStartIsDue(waiting)) {
      return true;
    }
    long estimate = TimeUnit.MILLISECONDS.toNanos(waiting.step().spec().estimateMillis());
    double duration = estimate * forecast.expectedRatio(waiting);
    return timing.queuedNanos() > duration * NEARNESS_WAIT_DURATIONS;
  }
}
