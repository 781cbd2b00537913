package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.plan.CapacityBars.Bar;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.statistics.StartReliability;

/**
 * Logs, as a warning, accepted jobs of which nothing runs although one of their steps is ready,
 * there is capacity for it and at most half of its pool is in use; and what keeps them waiting.
 */
final class IdleJobLog {

  /** Users accept that nothing of such a job runs for at most 3 s; shorter waits are logged too. */
  private static final long MIN_IDLE_NANOS = Duration.ofSeconds(2).toNanos();

  /**
   * How long there must have been capacity, since capacity that has just become free may be given
   * to runs that have not started yet.
   */
  private static final long MIN_CAPACITY_NANOS = Duration.ofSeconds(1).toNanos();

  /** Shorter than most runs, so that a job whose runs end soon does not count as idle. */
  private static final long OBSERVATION_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();

  /** The check counts the whole fleet for each idle job, which is too costly for each plan. */
  private static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

  private static final long REPEAT_NANOS = Duration.ofSeconds(10).toNanos();

  private final StartReliability reliability;
  private final Map<ActiveJob, Long> idleSince = new IdentityHashMap<>();
  private final Map<ActiveJob, Long> capacitySince = new IdentityHashMap<>();
  private final Map<ActiveJob, Long> loggedAt = new WeakHashMap<>();
  private final long beganAt;
  private long observedAt;
  private long checkedAt;

  /**
   * Creates a log.
   *
   * @param nowNanos when this owner began, monotonic
   */
  IdleJobLog(StartReliability reliability, long nowNanos) {
    this.reliability = reliability;
    this.beganAt = nowNanos;
    this.observedAt = nowNanos - OBSERVATION_INTERVAL_NANOS;
    this.checkedAt = nowNanos - CHECK_INTERVAL_NANOS;
  }

  /** Observes which jobs have nothing running, before each plan. */
  void observe(List<WaitingStep> waiting, long nowNanos) {
    if (nowNanos - observedAt < OBSERVATION_INTERVAL_NANOS) {
      return;
    }
    observedAt = nowNanos;
    Set<ActiveJob> ready = Collections.newSetFromMap(new IdentityHashMap<>());
    for (WaitingStep step : waiting) {
      if (step.step().job().accepted()) {
        ready.add(step.step().job());
      }
    }
    // A job whose runs are placed but do not start stays idle.
    idleSince
        .keySet()
        .removeIf(job -> !job.open() || (!ready.contains(job) && job.liveRuns().isEmpty()));
    for (ActiveJob job : ready) {
      idleSince.putIfAbsent(job, nowNanos);
    }
    idleSince.keySet().removeIf(IdleJobLog::hasStartedRun);
    capacitySince.keySet().retainAll(idleSince.keySet());
  }

  /**
   * Checks the jobs that have nothing running after a plan.
   *
   * @param executors all executors known
   */
  void check(
      List<WaitingStep> waiting,
      Planner.Plan plan,
      Collection<ExecutorState> executors,
      BatchContext context) {
    long nowNanos = context.nowNanos();
    if (nowNanos - checkedAt < CHECK_INTERVAL_NANOS) {
      return;
    }
    checkedAt = nowNanos;
    Set<StepProgress> started = plan.startedSteps();
    Map<String, PoolUse> pools = new HashMap<>();
    Set<ActiveJob> withCapacity = Collections.newSetFromMap(new IdentityHashMap<>());
    for (WaitingStep step : waiting) {
      ActiveJob job = step.step().job();
      Long since = idleSince.get(job);
      boolean mayBeDue = since != null && nowNanos - since >= MIN_IDLE_NANOS - MIN_CAPACITY_NANOS;
      if (!mayBeDue || started.contains(step.step()) || withCapacity.contains(job)) {
        continue;
      }
      PoolUse pool =
          pools.computeIfAbsent(step.pool(), name -> PoolUse.of(name, executors, nowNanos));
      if (!pool.atMostHalfInUse()) {
        continue;
      }
      CapacityBars bars = CapacityBars.count(step, pool.executors(), reliability, nowNanos);
      if (bars.fitting() < step.startsTogether()) {
        continue;
      }
      withCapacity.add(job);
      long capacityNanos = nowNanos - capacitySince.computeIfAbsent(job, key -> nowNanos);
      if (nowNanos - since >= MIN_IDLE_NANOS
          && capacityNanos >= MIN_CAPACITY_NANOS
          && !isLogged(job, nowNanos)) {
        loggedAt.put(job, nowNanos);
        warn(step, pool, keptFree(step, plan), nowNanos - since, capacityNanos, context);
        warn(job, bars, context);
        warn(step, plan.heldBy(step), bars, context);
      }
    }
    capacitySince.keySet().retainAll(withCapacity);
  }

  private static void warn(
      WaitingStep step,
      PoolUse pool,
      int keptFree,
      long idleNanos,
      long capacityNanos,
      BatchContext context) {
    context.warn(
        BatchLogEvent.JOB_IDLE,
        step.step().job().job().id(),
        TimeUnit.NANOSECONDS.toMillis(idleNanos),
        TimeUnit.NANOSECONDS.toMillis(capacityNanos),
        step.step().number(),
        step.failures(),
        step.maxAttempts(),
        pool.accelerators() - pool.acceleratorsInUse(),
        pool.accelerators(),
        pool.usableFreeAccelerators(),
        keptFree);
  }

  private static void warn(ActiveJob job, CapacityBars bars, BatchContext context) {
    context.warn(
        BatchLogEvent.IDLE_JOB_BARRED,
        job.job().id(),
        bars.executors(),
        bars.count(Bar.RESTING),
        bars.count(Bar.UNKNOWN_RUNS),
        bars.count(Bar.UNANSWERING),
        bars.count(Bar.CLOSED),
        bars.count(Bar.DOUBTED),
        bars.count(Bar.UNPROVEN),
        bars.count(Bar.FAILED),
        bars.count(Bar.UNADVISED),
        bars.count(Bar.UNSUITED),
        bars.open());
  }

  private void warn(WaitingStep step, HeldBy by, CapacityBars bars, BatchContext context) {
    long nowNanos = context.nowNanos();
    OptionalLong newest = bars.newestEvidence();
    context.warn(
        BatchLogEvent.IDLE_JOB_HELD,
        step.step().job().job().id(),
        by,
        step.step().number(),
        step.tasks().size(),
        newest.isEmpty() ? "none" : millis(nowNanos - newest.getAsLong()) + " ms ago",
        millis(nowNanos - beganAt));
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  private boolean isLogged(ActiveJob job, long nowNanos) {
    Long last = loggedAt.get(job);
    return last != null && nowNanos - last < REPEAT_NANOS;
  }

  /** Returns the accelerators that a step leaves free for urgent work; 0 if that is not why. */
  private static int keptFree(WaitingStep step, Planner.Plan plan) {
    for (Planner.HeldBack held : plan.heldBack()) {
      if (held.waiting().step() == step.step()) {
        return held.keptFree();
      }
    }
    return 0;
  }

  private static boolean hasStartedRun(ActiveJob job) {
    return job.liveRuns().stream().anyMatch(PoolUse::hasStarted);
  }
}
