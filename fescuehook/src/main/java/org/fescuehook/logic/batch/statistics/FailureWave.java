package org.fescuehook.logic.batch.statistics;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * Detects that many executors become faulty at the same time, and estimates how many. Until a run
 * that was started since then has ended well on an executor, that executor may be one of them.
 */
final class FailureWave {

  /**
   * Period whose ends are counted. It is short compared with the 6 s that such faults last, and
   * runs on faulty executors fail within a fraction of it.
   */
  private static final long PERIOD_NANOS = Duration.ofSeconds(1).toNanos();

  /** How long executors that fail their runs usually stay faulty. */
  static final long FAULT_NANOS = Duration.ofSeconds(6).toNanos();

  /** Share of failed executors from which on it is a wave; 2 to 5 % of runs fail by themselves. */
  private static final double MIN_SHARE = 0.15;

  /** Number of steps with failed runs below which single failures may be the cause. */
  static final int MIN_STEPS = 3;

  /**
   * Executors counted for one step at most, since a job whose tasks all fail at the same time is no
   * wave.
   */
  private static final int MAX_PER_STEP = 3;

  /** Executors without failure that are assumed besides those counted, for small samples. */
  private static final int ASSUMED_EXECUTORS = 5;

  /** Largest share that is assumed to be faulty. */
  private static final double MAX_SHARE = 0.5;

  /** Failed runs that are kept at most; more than a third of the largest fleet. */
  private static final int MAX_FAILED_RUNS = 500;

  /** Number of ages below which nothing is concluded from them. */
  private static final int MIN_AGES = 3;

  /** Ages of runs of the wave when they failed; those above this quantile have other causes. */
  private static final double AGE_QUANTILE = 0.75;

  /** A run is taken to succeed once it is this many times as old as most were when they failed. */
  private static final int SETTLED_AGES = 2;

  private final Deque<FailedRun> failedRuns = new ArrayDeque<>();
  private OptionalLong settledAge = OptionalLong.empty();
  private OptionalLong since = OptionalLong.empty();

  /** When the newest failed run of the wave failed. */
  private long seenAt;

  private double share;

  /** A run that has failed, with its age then. */
  private record FailedRun(StepProgress step, ExecutorId executor, long startedAt, long failedAt) {
    long age() {
      return failedAt - startedAt;
    }
  }

  /** Records a run that failed for a reason that its job does not explain. */
  void failed(StepProgress step, ExecutorId executor, long startedAt, long nowNanos) {
    failedRuns.addLast(new FailedRun(step, executor, startedAt, nowNanos));
    while (failedRuns.size() > MAX_FAILED_RUNS
        || nowNanos - failedRuns.getFirst().failedAt() >= FAULT_NANOS) {
      failedRuns.removeFirst();
    }
  }

  /**
   * Takes back the failed runs of a step that is their cause itself. A wave that too few other
   * steps show is over.
   */
  void exonerate(StepProgress step) {
    failedRuns.removeIf(run -> run.step() == step);
    if (failedRuns.stream().map(FailedRun::step).distinct().count() < MIN_STEPS) {
      since = OptionalLong.empty();
      share = 0;
    }
  }

  /**
   * Counts the executors on which runs have ended lately.
   *
   * @return whether a wave has just begun
   */
  boolean observe(Collection<ExecutorRecord> records, long nowNanos) {
    long ended =
        records.stream().filter(record -> record.endedWithin(PERIOD_NANOS, nowNanos)).count();
    if (since.isPresent() && nowNanos - seenAt >= FAULT_NANOS) {
      since = OptionalLong.empty();
      share = 0;
    }
    boolean begun = recognise(ended, nowNanos);
    settledAge = settledAge();
    return begun;
  }

  private boolean recognise(long ended, long nowNanos) {
    Map<StepProgress, Set<ExecutorId>> executors = new IdentityHashMap<>();
    long newest = nowNanos - PERIOD_NANOS;
    for (FailedRun run : failedRuns) {
      if (nowNanos - run.failedAt() < PERIOD_NANOS) {
        executors.computeIfAbsent(run.step(), step -> new HashSet<>()).add(run.executor());
        newest = run.failedAt();
      }
    }
    int failed =
        executors.values().stream().mapToInt(ofStep -> Math.min(ofStep.size(), MAX_PER_STEP)).sum();
    double seen = (double) failed / (ended + ASSUMED_EXECUTORS);
    if (executors.size() < MIN_STEPS || seen < MIN_SHARE) {
      return false;
    }
    seenAt = newest;
    share = Math.clamp(seen, share, MAX_SHARE);
    if (since.isPresent()) {
      return false;
    }
    since = OptionalLong.of(nowNanos - PERIOD_NANOS);
    return true;
  }

  private OptionalLong settledAge() {
    if (since.isEmpty()) {
      return OptionalLong.empty();
    }
    long[] ages =
        failedRuns.stream()
            .filter(run -> run.startedAt() - since.getAsLong() >= 0)
            .mapToLong(FailedRun::age)
            .sorted()
            .toArray();
    return ages.length < MIN_AGES
        ? OptionalLong.empty()
        : OptionalLong.of(SETTLED_AGES * ages[(int) (ages.length * AGE_QUANTILE)]);
  }

  /** Tells whether a run that is still working would have failed by now on a faulty executor. */
  boolean settled(long startedAt, long nowNanos) {
    return settledAge.isPresent()
        && startedAt - since.orElseThrow() >= 0
        && nowNanos - startedAt >= settledAge.getAsLong();
  }

  /** Returns when the wave began, monotonic time; empty if there is none. */
  OptionalLong since() {
    return since;
  }

  /** Returns the share of executors that are assumed to be faulty; 0 without a wave. */
  double share() {
    return share;
  }
}
