package org.fescuehook.logic.batch.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.admission.RefusedJobs.RefusedJob;
import org.fescuehook.model.batch.JobQueue;

/**
 * Refuses jobs that would start too late to be of use, and tells refused callers when to return: so
 * that the tries that they have left span an outage of the store, so that they do not all return in
 * the same second, and so that who was refused first is admitted first. What it remembers is lost
 * at a takeover; callers who were refused before then count as new.
 */
final class BacklogAdmission {

  private static final long MIN_DELAY_MILLIS = 1000;

  /** Longest delay for want of capacity; after it the load has changed beyond any estimate. */
  private static final long MAX_DELAY_MILLIS = Duration.ofSeconds(30).toMillis();

  private static final long EXPIRY_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long FULL_LOG_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final LoadMeter load;
  private final boolean fairShares;
  private final RefusedJobs refused = new RefusedJobs();
  private final ReturnSchedule returns = new ReturnSchedule();
  private long nowNanos;
  private long expiredAt;
  private long fullLoggedAt;
  private Optional<String> evictedFrom = Optional.empty();

  /**
   * Creates a part that remembers no refusal.
   *
   * @param fairShares whether plans divide capacity among organisations
   */
  BacklogAdmission(LoadMeter load, boolean fairShares) {
    this.load = load;
    this.fairShares = fairShares;
  }

  /** Returns the time of the last update, monotonic. */
  long nowNanos() {
    return nowNanos;
  }

  /** Measures the load and forgets callers who have not returned. */
  void update(BatchContext context) {
    nowNanos = context.nowNanos();
    load.sample(context);
    if (nowNanos - expiredAt > EXPIRY_INTERVAL_NANOS) {
      expiredAt = nowNanos;
      refused.expire(nowNanos);
    }
    boolean logDue = nowNanos - fullLoggedAt > FULL_LOG_INTERVAL_NANOS;
    if (evictedFrom.isPresent() && logDue) {
      fullLoggedAt = nowNanos;
      context.note(BatchLogEvent.REFUSED_JOBS_FULL, RefusedJobs.MAX_JOBS, evictedFrom.get());
      evictedFrom = Optional.empty();
    }
  }

  /** Returns the delay after which the caller of a job shall retry; empty if it is admitted. */
  Optional<Long> refuse(NewJob job, BatchContext context) {
    long now = context.nowNanos();
    Optional<JobDemand> demand = load.demand(job);
    Optional<LoadDecision.TooLate> tooLate = demand.flatMap(known -> decide(job, known, context));
    if (tooLate.isPresent()) {
      // A return is of no use once the useful time has passed, so such a caller comes back last.
      boolean useless = refused.find(job.key()).filter(known -> known.useless(now)).isPresent();
      long capacity = useless ? MAX_DELAY_MILLIS : tooLate.get().capacityMillis();
      long delay = Math.clamp(capacity, MIN_DELAY_MILLIS, MAX_DELAY_MILLIS);
      long scheduled = refused(job, demand, delay, now);
      note(job, tooLate.get(), context);
      return Optional.of(scheduled);
    }
    demand.ifPresent(known -> load.admitted(known, now));
    refused
        .find(job.key())
        .filter(known -> known.returnAt() - now > 0)
        .ifPresent(known -> returns.remove(known.returnAt() / NANOS_PER_MILLI));
    refused.admitted(job.key(), now);
    return Optional.empty();
  }

  private Optional<LoadDecision.TooLate> decide(
      NewJob job, JobDemand demand, BatchContext context) {
    if (load.mayBeGuaranteed(job) || load.hasFreeCapacity(job, context)) {
      return Optional.empty();
    }
    long now = context.nowNanos();
    Optional<RefusedJob> earlier = refused.find(job.key());
    long firstAt = earlier.map(RefusedJob::firstAt).orElse(now);
    HeldWork before = refused.workBefore(job.key(), demand, firstAt, now);
    LoadDecision.Times times =
        earlier.filter(known -> known.useless(now)).isPresent()
            ? LoadDecision.Times.PASSED
            : times(job);
    return LoadDecision.decide(demand, times, load.state(context), before, fairShares);
  }

  private static LoadDecision.Times times(NewJob job) {
    long chain = job.submission().estimatedChainMillis();
    long objective = job.queue().objectiveMillis(chain);
    return new LoadDecision.Times(objective - chain, objective * JobQueue.MAX_USEFUL_OBJECTIVES);
  }

  /**
   * Records that a job is refused for want of the store, and returns the delay after which its
   * caller shall retry.
   */
  long refuseForStore(NewJob job, long outageAgeMillis, long now) {
    int refusals = refused.refusals(job.key()) + 1;
    long delay = OutageRetries.minDelayMillis(outageAgeMillis, refusals);
    return refused(job, Optional.empty(), delay, now);
  }

  /**
   * Records that a submission is refused since its queue or key may have been declared while this
   * VM could not read the operators' records, and returns the delay after which its caller shall
   * retry.
   */
  long refuseForConfiguration(String key, long ageMillis, long now) {
    long delay = OutageRetries.minDelayMillis(ageMillis, refused.refusals(key) + 1);
    return refused(key, "", Optional.empty(), delay, now, Long.MAX_VALUE);
  }

  private long refused(NewJob job, Optional<JobDemand> demand, long minDelayMillis, long now) {
    long useful = times(job).usefulMillis() * NANOS_PER_MILLI;
    return refused(job.key(), job.organisation(), demand, minDelayMillis, now, useful);
  }

  private long refused(
      String key,
      String organisation,
      Optional<JobDemand> demand,
      long minDelayMillis,
      long now,
      long usefulNanos) {
    // VMs repeat a submission while its caller waits; a repetition is no try of the caller.
    Optional<RefusedJob> booked = refused.find(key).filter(known -> known.returnAt() - now > 0);
    if (booked.isPresent()) {
      return Math.ceilDiv(booked.get().returnAt() - now, NANOS_PER_MILLI);
    }
    long delay = returns.add(now / NANOS_PER_MILLI, minDelayMillis);
    long returnAt = now + delay * NANOS_PER_MILLI;
    refused
        .refused(key, organisation, demand, now, returnAt, usefulNanos)
        .ifPresent(largest -> evictedFrom = Optional.of(largest));
    return delay;
  }

  private static void note(NewJob job, LoadDecision.TooLate tooLate, BatchContext context) {
    context.note(
        BatchLogEvent.START_TOO_LATE,
        job.id(),
        job.organisation(),
        tooLate.expectedStartMillis(),
        times(job).usefulMillis(),
        "%.2f".formatted(tooLate.ahead().all()),
        "%.2f".formatted(tooLate.heldFor()),
        "%.3f".formatted(tooLate.ratePerSecond()));
  }

  /** Tells that a job is stored which was refused before. */
  void stored(NewJob submitted, List<BatchCommand> outgoing) {
    Optional<RefusedJob> earlier = refused.find(submitted.key());
    if (earlier.isEmpty()) {
      return;
    }
    RefusedJob job = earlier.get();
    long millis = (nowNanos - job.firstAt()) / NANOS_PER_MILLI;
    outgoing.add(
        new BatchCommand.Note(
            BatchLogEvent.REFUSED_JOB_ADMITTED,
            List.of(submitted.id(), job.organisation(), job.refusals(), millis)));
    outgoing.add(
        new BatchCommand.Count(
            "fescuehook.batch.admitted.later", "refusals", String.valueOf(job.refusals())));
  }
}
