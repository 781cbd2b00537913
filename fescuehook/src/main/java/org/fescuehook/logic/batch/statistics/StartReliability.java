package org.fescuehook.logic.batch.statistics;

import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;

/**
 * How likely it is that runs succeed on an executor, learned from the ends of runs and the outcomes
 * of starts of all jobs. A failed run may be the fault of its executor, of its job, or of neither;
 * each is weighed by what other runs of the job and on the executor show.
 */
public final class StartReliability {

  /** Share of runs that fail for reasons of their own. */
  private static final double OWN_FAILURE_SHARE = 0.035;

  /** Share of its runs that a faulty executor fails. */
  private static final double FAULTY_FAILURE_SHARE = 0.9;

  /** Share of executors that are faulty if nothing else is known. */
  private static final double USUAL_FAULTY_SHARE = 0.02;

  private static final double USUAL_ODDS = LogOdds.of(USUAL_FAULTY_SHARE);

  /** Share of jobs that always fail. */
  private static final double BAD_JOB_SHARE = 0.02;

  /** Probability above which an executor gets no runs for a while, or a job is blamed. */
  private static final double MORE_LIKELY_THAN_NOT = 0.5;

  /** Records without evidence for this time say nothing any more and are dropped. */
  private static final long RETENTION_NANOS = Duration.ofSeconds(60).toNanos();

  private static final int PERCENT = 100;

  private final boolean enabled;
  private final Map<ExecutorId, ExecutorRecord> executors = new HashMap<>();
  private final Map<StepProgress, StepFailures> steps = new IdentityHashMap<>();
  private final FailureWave wave = new FailureWave();
  private OptionalLong wavesKnownFrom = OptionalLong.empty();
  private final UnansweredStarts unanswered = new UnansweredStarts();

  /**
   * Creates statistics that know nothing yet.
   *
   * @param enabled whether anything is learned; otherwise all answers stay neutral
   */
  public StartReliability(boolean enabled) {
    this.enabled = enabled;
  }

  /** Returns whether anything is learned. */
  public boolean enabled() {
    return enabled;
  }

  /** Looks for a wave of failures, before each plan. */
  public void observe(BatchContext context) {
    if (!enabled) {
      return;
    }
    long nowNanos = context.nowNanos();
    if (wavesKnownFrom.isEmpty()) {
      wavesKnownFrom = OptionalLong.of(nowNanos + FailureWave.FAULT_NANOS);
    }
    executors.values().removeIf(executor -> executor.outdated(RETENTION_NANOS, nowNanos));
    if (wave.observe(executors.values(), nowNanos)) {
      context.note(BatchLogEvent.FAILURE_WAVE, Math.round(wave.share() * PERCENT));
      context.count("fescuehook.batch.failure.waves", "state", "begun");
    }
  }

  /** Tells whether there is no wave of failures. */
  public boolean calm(long nowNanos) {
    return knowsWaves(nowNanos) && wave.since().isEmpty();
  }

  /** Takes over when steps have failed under former owners. */
  public void restore(FormerFailures failures, long nowNanos) {
    wavesKnownFrom = OptionalLong.of(failures.waveKnownFrom(nowNanos));
  }

  /**
   * Tells whether it would know of a wave of failures. A new owner does not know of one that began
   * before. So if several steps failed shortly before, or if it is not known whether they did, it
   * has to wait until such a wave is over.
   */
  public boolean knowsWaves(long nowNanos) {
    return wavesKnownFrom.isPresent() && nowNanos - wavesKnownFrom.getAsLong() >= 0;
  }

  /**
   * Returns the time since which a fault must have been seen to be present still; empty during a
   * wave of failures, which may be present also where it has not been seen.
   */
  public OptionalLong presentFaultsSince(long nowNanos) {
    return calm(nowNanos)
        ? OptionalLong.of(nowNanos - FailureWave.FAULT_NANOS)
        : OptionalLong.empty();
  }

  /** Learns from the end of a run. */
  public void ended(Incarnation executor, LiveRun run, RunEnd end, BatchContext context) {
    if (!enabled) {
      return;
    }
    switch (end) {
      case DONE -> {
        // When a run of a former owner was started is not known, so it proves nothing.
        if (run.startOrderedAt().isPresent()) {
          succeeded(executor, run.startOrderedAt().getAsLong(), context);
        }
      }
      case FAILED -> failed(executor, run, context);
      case STOPPED, LEASE_EXPIRED, GANG_BROKEN, GANG_INCOMPLETE -> {}
    }
  }

  private void succeeded(Incarnation executor, long startedAt, BatchContext context) {
    ExecutorRecord found = executor(executor.id());
    boolean doubted = standing(executor.id(), context.nowNanos()).doubted();
    found.succeeded(startedAt, context.nowNanos());
    if (doubted && !standing(executor.id(), context.nowNanos()).doubted()) {
      context.note(BatchLogEvent.EXECUTOR_TRUSTED, executor);
      context.count("fescuehook.batch.executors.doubted", "cause", "settled");
    }
  }

  private void failed(Incarnation executor, LiveRun run, BatchContext context) {
    if (!run.step().job().open()) {
      // What its other runs showed is forgotten, so that executor and job cannot be told apart.
      return;
    }
    long nowNanos = context.nowNanos();
    long startedAt = run.startOrderedAt().orElse(run.placedAt());
    StepFailures failures = steps.computeIfAbsent(run.step(), StepFailures::new);
    double jobFault = jobFault(failures, run, nowNanos);
    boolean counted = failures.charged(run.executor()) > 0;
    failures.failed(run, startedAt, nowNanos);
    double weight =
        Math.max(0, Math.log(FAULTY_FAILURE_SHARE / Math.min(1, OWN_FAILURE_SHARE + jobFault)));
    if (jobFault > MORE_LIKELY_THAN_NOT) {
      blame(failures, run.step(), context);
    } else if (!counted && weight > 0) {
      // Runs of one step count once against an executor, since they may share a cause.
      failures.charge(executor.id(), weight);
      boolean doubted = standing(executor.id(), nowNanos).doubted();
      executor(executor.id()).failed(weight, startedAt, nowNanos);
      wave.failed(run.step(), executor.id(), startedAt, nowNanos);
      noteDoubt(executor, doubted, "failed", context);
    }
  }

  /**
   * Returns the probability that a run fails because of its job: its task, or most tasks of its
   * step, have failed on other executors that are not faulty themselves.
   */
  private double jobFault(StepFailures failures, LiveRun run, long nowNanos) {
    Set<ExecutorId> others =
        failures.mostlyFails()
            ? failures.executors()
            : failures.executorsOfTask(run.run().task().index());
    double odds = LogOdds.of(BAD_JOB_SHARE);
    for (ExecutorId other : others) {
      if (!other.equals(run.executor())) {
        ExecutorRecord known = executor(other);
        double suspicion = Math.max(0, known.suspicion(nowNanos) - failures.charged(other));
        double faulty = LogOdds.probability(LogOdds.of(shareWithoutEvidence(known)) + suspicion);
        odds -= Math.log(Math.min(1, OWN_FAILURE_SHARE + faulty));
      }
    }
    return LogOdds.probability(odds);
  }

  /** Counts the failures of a step against its job and not against the executors. */
  private void blame(StepFailures failures, StepProgress step, BatchContext context) {
    failures
        .takeCharges()
        .forEach((id, weight) -> executor(id).exonerate(weight, context.nowNanos()));
    wave.exonerate(step);
    if (failures.markBlamed()) {
      context.note(BatchLogEvent.JOB_FAILS_EVERYWHERE, step.name(), failures.executors().size());
      context.count("fescuehook.batch.steps.blamed", "for", "failures");
    }
  }

  /** Learns from another observation about an executor. */
  public void observed(Incarnation executor, StartEvidence evidence, BatchContext context) {
    if (!enabled) {
      return;
    }
    if (evidence == StartEvidence.UNANSWERED && causedHere(executor.id(), context.nowNanos())) {
      return;
    }
    boolean doubted = standing(executor.id(), context.nowNanos()).doubted();
    if (executor(executor.id()).observed(executor, evidence, context.nowNanos())) {
      noteDoubt(executor, doubted, evidence.tag(), context);
    }
  }

  /**
   * Tells whether this VM rather than an executor is the cause of an unanswered start. If so, those
   * of the last second are taken back.
   */
  private boolean causedHere(ExecutorId executor, long nowNanos) {
    unanswered.add(executor, nowNanos);
    long working =
        executors.values().stream()
            .filter(record -> record.endedWithin(UnansweredStarts.PERIOD_NANOS, nowNanos))
            .count();
    if (!unanswered.outnumber(working)) {
      return false;
    }
    unanswered.executors().stream()
        .map(executors::get)
        .filter(Objects::nonNull)
        .forEach(record -> record.takeBack(StartEvidence.UNANSWERED, nowNanos));
    return true;
  }

  private void noteDoubt(
      Incarnation executor, boolean doubtedBefore, String cause, BatchContext context) {
    ExecutorStanding standing = standing(executor.id(), context.nowNanos());
    if (standing.doubted() && !doubtedBefore) {
      long percent = Math.round(standing.faultProbability() * PERCENT);
      context.note(BatchLogEvent.EXECUTOR_DOUBTED, executor, cause, percent);
      context.count("fescuehook.batch.executors.doubted", "cause", cause);
    }
  }

  /** Forgets a job that has ended. */
  public void ended(ActiveJob job) {
    job.steps().forEach(steps::remove);
  }

  /**
   * Returns how long an executor gets no runs at all after a failure; empty if it is more likely
   * that it is not faulty.
   */
  public Optional<Duration> backoff(ExecutorId executor, long nowNanos) {
    ExecutorStanding standing = standing(executor, nowNanos);
    return standing.doubted() && standing.faultProbability() > MORE_LIKELY_THAN_NOT
        ? Optional.of(executor(executor).backoff(nowNanos))
        : Optional.empty();
  }

  /**
   * Returns what is known about an executor, also from the runs that are there: during a wave of
   * failures, a run that works for longer than others took to fail shows that it is not part of it.
   */
  public ExecutorStanding standing(ExecutorState executor, long nowNanos) {
    ExecutorStanding standing = standing(executor.incarnation().id(), nowNanos);
    boolean unproven =
        wave.since().isPresent()
            && !standing.doubted()
            && standing.faultProbability() > ExecutorStanding.USABLE;
    return unproven && executor.runs().stream().anyMatch(run -> settled(run, nowNanos))
        ? standing.withFaultProbability(USUAL_FAULTY_SHARE)
        : standing;
  }

  private boolean settled(LiveRun run, long nowNanos) {
    return run.stage() == LiveRun.Stage.RUNNING
        && run.percent() > 0
        && run.startOrderedAt().isPresent()
        && wave.settled(run.startOrderedAt().getAsLong(), nowNanos);
  }

  /** Returns what is known about an executor from what has ended there. */
  public ExecutorStanding standing(ExecutorId executor, long nowNanos) {
    if (!enabled) {
      return ExecutorStanding.UNKNOWN;
    }
    ExecutorRecord known = executors.get(executor);
    if (known == null) {
      return new ExecutorStanding(
          Math.max(USUAL_FAULTY_SHARE, wave.share()),
          false,
          0,
          OptionalLong.empty(),
          OptionalLong.empty());
    }
    double suspicion = known.suspicion(nowNanos);
    boolean doubted =
        suspicion > 0 && LogOdds.probability(USUAL_ODDS + suspicion) > ExecutorStanding.USABLE;
    double base = shareWithoutEvidence(known);
    double probability = suspicion > 0 ? LogOdds.probability(LogOdds.of(base) + suspicion) : base;
    return new ExecutorStanding(
        probability, doubted, known.doubtedSince(), known.faultSeenAt(), known.provenSince());
  }

  /** Returns the probability of a fault if there were no evidence against the executor itself. */
  private double shareWithoutEvidence(ExecutorRecord executor) {
    boolean provenInWave =
        wave.since().isPresent() && executor.provenAfter(wave.since().getAsLong());
    return provenInWave ? USUAL_FAULTY_SHARE : Math.max(USUAL_FAULTY_SHARE, wave.share());
  }

  /**
   * Returns when the fault that the last failure of a step may have shown was present, monotonic
   * time; empty if no run of it has failed since this owner began.
   */
  public OptionalLong newestFault(StepProgress step) {
    StepFailures failures = steps.get(step);
    return failures == null ? OptionalLong.empty() : failures.newestFault();
  }

  private ExecutorRecord executor(ExecutorId id) {
    return executors.computeIfAbsent(id, key -> new ExecutorRecord());
  }
}
