package org.fescuehook.logic.batch.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.executor.ExecutorRegistry;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.plan.PlanDuty;
import org.fescuehook.logic.batch.plan.Rank;
import org.fescuehook.logic.batch.plan.WaitingStep;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * Measures the backlog of each pool and the rate at which it drains. The backlog follows from the
 * stored jobs, the rate from the runs on the executors and their ends.
 */
public final class LoadMeter {

  /** Interval of the measurements; with 5,300 runs one takes less than a millisecond. */
  private static final long SAMPLE_NANOS = Duration.ofMillis(500).toNanos();

  /** Age up to which a backlog is used again, with the jobs accepted since added to it. */
  private static final long STATE_NANOS = Duration.ofMillis(100).toNanos();

  /** Part of a task that is left, as far as is known, if it has saved a checkpoint. */
  private static final double LEFT_AFTER_CHECKPOINT = 0.5;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ExecutorRegistry executors;
  private final PlanDuty plans;
  private final Map<String, DrainRate> rates = new HashMap<>();
  private final Map<String, Double> endedWork = new HashMap<>();
  private Map<String, PoolCapacity> pools = Map.of();
  private Map<String, Double> occupied = Map.of();
  private long sampledAt;
  private LoadState state = LoadState.UNKNOWN;

  /** Jobs admitted since the state was used, while it is young enough to be used again. */
  private final List<JobDemand> admitted = new ArrayList<>();

  private long stateAt;

  /** Creates a meter that knows no rate yet. */
  public LoadMeter(ExecutorRegistry executors, PlanDuty plans, BatchContext context) {
    this.executors = executors;
    this.plans = plans;
    this.sampledAt = context.nowNanos();
    this.stateAt = context.nowNanos() - STATE_NANOS;
  }

  /** Measures what the executors have done since the last measurement, if it is due. */
  public void sample(BatchContext context) {
    long now = context.nowNanos();
    if (now - sampledAt < SAMPLE_NANOS) {
      return;
    }
    // Set first, so that a failed measurement is not repeated with each step.
    long from = sampledAt;
    sampledAt = now;
    measurePools(now);
    Map<String, Double> done = new HashMap<>(endedWork);
    Map<String, Double> share = new HashMap<>();
    for (ExecutorState executor : executors.all()) {
      String pool = executor.profile().pool();
      for (LiveRun run : executor.runs()) {
        if (run.step().spec().longRunning().isPresent() || !pools.containsKey(pool)) {
          continue;
        }
        double taken = pools.get(pool).share(run.demand());
        share.merge(pool, taken, Double::sum);
        if (run.stage() == Stage.RUNNING) {
          done.merge(pool, taken * estimatedSeconds(run, from, now), Double::sum);
        }
      }
    }
    for (String pool : pools.keySet()) {
      rates
          .computeIfAbsent(pool, name -> new DrainRate())
          .add(from, now, done.getOrDefault(pool, 0.0), share.getOrDefault(pool, 0.0));
    }
    rates.keySet().retainAll(pools.keySet());
    endedWork.clear();
    occupied = share;
  }

  private void measurePools(long now) {
    pools = new HashMap<>();
    for (ExecutorState executor : executors.all()) {
      if (executor.listed()) {
        pools
            .computeIfAbsent(executor.profile().pool(), name -> new PoolCapacity())
            .add(executor, now);
      }
    }
  }

  /**
   * Returns for how long a run worked within its estimate in an interval. Beyond its estimate it
   * works off nothing of the backlog, which is measured in estimates.
   */
  private double estimatedSeconds(LiveRun run, long from, long until) {
    if (run.runningSince().isEmpty()) {
      return 0;
    }
    long begun = run.runningSince().getAsLong();
    long counted = Math.max(0, from - begun);
    long worked = Math.min(until - begun, estimateNanos(run));
    return Math.max(0, worked - counted) / NANOS_PER_SECOND;
  }

  private static long estimateNanos(LiveRun run) {
    return run.step().spec().estimateMillis() * NANOS_PER_MILLI;
  }

  /** Counts the rest of the estimate of a run that is done; the run is still on its executor. */
  public void ended(LiveRun run, RunEnd end) {
    Optional<String> pool = poolOf(run.executor()).filter(pools::containsKey);
    if (end != RunEnd.DONE || pool.isEmpty()) {
      return;
    }
    long counted =
        run.runningSince().isPresent()
            ? Math.max(0, sampledAt - run.runningSince().getAsLong())
            : 0;
    double left = Math.max(0, estimateNanos(run) - counted) / NANOS_PER_SECOND;
    double share = pools.get(pool.get()).share(run.demand());
    endedWork.merge(pool.get(), share * left, Double::sum);
  }

  private Optional<String> poolOf(ExecutorId id) {
    return executors.find(id).map(executor -> executor.profile().pool());
  }

  /** Returns the backlog and how fast it drains. */
  LoadState state(BatchContext context) {
    if (context.nowNanos() - stateAt >= STATE_NANOS) {
      stateAt = context.nowNanos();
      state = new LoadState(waiting(context), knownRates(), usableShares());
    } else if (!admitted.isEmpty()) {
      state = state.with(admitted);
    }
    admitted.clear();
    return state;
  }

  /**
   * Adds a job that was admitted to the backlog, until it is measured again. Nothing is kept while
   * no decision needs the backlog, as while capacity is free.
   */
  void admitted(JobDemand job, long nowNanos) {
    if (nowNanos - stateAt < STATE_NANOS) {
      admitted.add(job);
    } else {
      admitted.clear();
    }
  }

  /** Returns the number of admitted jobs that the next decision adds to the backlog. */
  int admittedJobs() {
    return admitted.size();
  }

  /** Tells whether the guarantee of its organisation may cover a new job. */
  boolean mayBeGuaranteed(NewJob job) {
    int accelerators =
        job.submission().steps().stream()
            .mapToInt(step -> step.demand().accelerators() * step.count())
            .sum();
    return plans.mayBeGuaranteed(job.organisation(), job.queue(), accelerators);
  }

  private List<LoadState.WaitingWork> waiting(BatchContext context) {
    List<LoadState.WaitingWork> waiting = new ArrayList<>();
    for (WaitingStep step : plans.waiting(context)) {
      // Which executors advice leaves to a step is not known in advance.
      if (step.advice().isPresent() || !pools.containsKey(step.pool())) {
        continue;
      }
      BatchStep spec = step.step().spec();
      waiting.add(
          new LoadState.WaitingWork(
              step.pool(),
              spec.placement().label(),
              step.rank(),
              step.timing().prospect(),
              step.step().job().job().organisation(),
              pools.get(step.pool()).work(spec, tasksLeft(step))));
    }
    return waiting;
  }

  private static double tasksLeft(WaitingStep step) {
    double left = 0;
    for (TaskProgress task : step.tasks()) {
      left += task.checkpoint().isEmpty() ? 1 : LEFT_AFTER_CHECKPOINT;
    }
    return left;
  }

  private Map<String, Double> knownRates() {
    Map<String, Double> known = new HashMap<>();
    rates.forEach(
        (pool, rate) -> {
          OptionalDouble perSecond = rate.perSecond(occupied.getOrDefault(pool, 0.0));
          perSecond.ifPresent(value -> known.put(pool, value));
        });
    return known;
  }

  private Map<String, Double> usableShares() {
    return pools.entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().usableShare()));
  }

  /**
   * Returns what a new job asks of the fleet; empty if its wait cannot be foretold: it is scheduled
   * for later, is useful whenever it runs, or needs executors of several kinds.
   */
  Optional<JobDemand> demand(NewJob job) {
    PoolCapacity pool = pools.get(job.queue().pool());
    List<BatchStep> steps = job.submission().steps();
    Set<Optional<String>> labels =
        steps.stream().map(step -> step.placement().label()).collect(Collectors.toSet());
    boolean foreseeable =
        pool != null
            && job.submission().schedule().isEmpty()
            && steps.stream().noneMatch(step -> step.longRunning().isPresent())
            && labels.size() == 1
            && !job.queue().advised();
    if (!foreseeable) {
      return Optional.empty();
    }
    double work = steps.stream().mapToDouble(step -> pool.work(step, step.count())).sum();
    return Optional.of(
        new JobDemand(
            job.queue().pool(),
            labels.iterator().next(),
            Rank.ofPriority(job.queue().priority()),
            job.organisation(),
            work));
  }

  /**
   * Tells whether there is free capacity for a step that a new job begins with, regardless of how
   * it is distributed over racks.
   */
  boolean hasFreeCapacity(NewJob job, BatchContext context) {
    for (BatchStep step : job.submission().steps()) {
      if (step.dependsOn().isEmpty() && fits(step, job.queue().pool(), context)) {
        return true;
      }
    }
    return false;
  }

  private boolean fits(BatchStep step, String pool, BatchContext context) {
    long wanted = step.gang() ? step.count() : 1;
    long fitting = 0;
    for (ExecutorState executor : executors.all()) {
      boolean suitable =
          executor.profile().pool().equals(pool)
              && executor.profile().labels().containsAll(step.placement().label().stream().toList())
              && executor.usable(context.nowNanos());
      if (suitable) {
        fitting += executor.free().fits(step.demand());
      }
      if (fitting >= wanted) {
        return true;
      }
    }
    return false;
  }
}
