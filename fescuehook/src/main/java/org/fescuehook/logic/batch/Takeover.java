package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.maintenance.WaveCodec;
import org.fescuehook.logic.batch.ownership.StoreReachability;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.JobCodec;
import org.fescuehook.logic.batch.state.JobRegistry;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.statistics.FormerFailures;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.PendingCall;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.logic.batch.store.WriterPosition;

/**
 * The first phase of a new owner, before it schedules: it fences the previous owner off by raising
 * the epoch of the job stream, and then loads all jobs from the stream.
 */
final class Takeover {

  /** Delay before a failed call to the store is retried. */
  private static final long RETRY_NANOS = Duration.ofMillis(100).toNanos();

  /**
   * Longest time that a takeover may go without progress. A page of 1 MB takes 1.2 s over a link of
   * 7 Mbit/s, and about as long to decode on a third of a core.
   */
  private static final long STALL_NANOS = Duration.ofSeconds(5).toNanos();

  /**
   * Number of the longest recent store appends that the time without progress must allow for: a
   * call may have to wait for another one, and be repeated once.
   */
  private static final int STALL_APPENDS = 3;

  /** Time between two log events about a takeover that is not complete. */
  private static final long LOG_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

  private final long epoch;
  private final long startedAt;
  private final Map<String, byte[]> records = new LinkedHashMap<>();
  private final List<Long> failuresOfEnded = new ArrayList<>();
  private boolean fenced;
  private final PendingCall pendingCall = new PendingCall(PendingCall.PAGE_TIMEOUT);
  private boolean loaded;
  private Optional<String> afterKey = Optional.empty();
  private long retryAt;
  private long loggedAt;
  private long progressAt;

  Takeover(long epoch, BatchContext context) {
    this.epoch = epoch;
    this.startedAt = context.nowNanos();
    this.retryAt = context.nowNanos();
    this.loggedAt = context.nowNanos();
    this.progressAt = context.nowNanos();
  }

  long epoch() {
    return epoch;
  }

  long startedAt() {
    return startedAt;
  }

  boolean loaded() {
    return loaded;
  }

  /** Returns whether the takeover has made no progress for too long. */
  boolean stalled(StoreReachability contact, BatchContext context) {
    long longest = Math.max(STALL_NANOS, STALL_APPENDS * contact.longestAppendNanos());
    return context.nowNanos() - progressAt > longest;
  }

  /** Restarts the time without progress, as no VM could have made progress up to now. */
  void resetStallTimer(BatchContext context) {
    progressAt = context.nowNanos();
  }

  void step(BatchContext context) {
    if (pendingCall.isPending(context) || loaded || context.nowNanos() - retryAt < 0) {
      return;
    }
    pendingCall.begin(context);
    if (!fenced) {
      context.add(
          new BatchCommand.Append(
              StreamName.STATE, new WriterPosition(epoch, 0), OptionalLong.empty(), List.of()));
      return;
    }
    context.add(new BatchCommand.LoadState(epoch, afterKey));
  }

  /**
   * Logs once a second what the takeover waits for.
   *
   * @param missing what the new owner lacks besides the jobs
   */
  void logProgress(String missing, BatchContext context) {
    if (context.nowNanos() - loggedAt < LOG_INTERVAL_NANOS) {
      return;
    }
    loggedAt = context.nowNanos();
    long millis = Duration.ofNanos(context.nowNanos() - startedAt).toMillis();
    context.note(BatchLogEvent.TAKEOVER_UNDER_WAY, epoch, millis, loaded ? missing : missingJobs());
  }

  private String missingJobs() {
    return fenced ? "jobs, " + records.size() + " records read" : "the epoch of the jobs' stream";
  }

  /**
   * Applies the outcome of the append that raises the epoch of the job stream.
   *
   * @return false if the stream has a higher epoch, hence a newer owner
   */
  boolean answered(WriterPosition position, AppendOutcome outcome, BatchContext context) {
    if (position.epoch() != epoch || fenced) {
      return true;
    }
    pendingCall.end();
    return switch (outcome) {
      case AppendOutcome.Stored stored -> {
        fenced = true;
        progressAt = context.nowNanos();
        yield true;
      }
      case AppendOutcome.Refused refused -> retry(context);
      case AppendOutcome.Unanswered unanswered -> retry(context);
      case AppendOutcome.Fenced higher -> false;
      case AppendOutcome.Conflict conflict -> false;
      case AppendOutcome.OutOfSequence expected -> false;
    };
  }

  private boolean retry(BatchContext context) {
    pendingCall.end();
    retryAt = context.nowNanos() + RETRY_NANOS;
    return true;
  }

  /**
   * Adds a page of the job stream.
   *
   * @param requestedIn epoch of the takeover that requested the page; a page requested by an
   *     earlier takeover is ignored, since it may lack jobs accepted after it was read
   */
  void read(long requestedIn, List<KeyedRecord> page, Optional<String> more, BatchContext context) {
    if (requestedIn != epoch || loaded) {
      return;
    }
    pendingCall.end();
    progressAt = context.nowNanos();
    for (KeyedRecord record : page) {
      record.value().ifPresent(value -> records.put(record.key(), value));
    }
    afterKey = more;
    loaded = more.isEmpty();
  }

  void unreadable(long requestedIn, BatchContext context) {
    if (requestedIn == epoch) {
      retry(context);
    }
  }

  /** Decodes the loaded records; a record that cannot be decoded is logged and left out. */
  JobRegistry registry(BatchContext context) {
    JobRegistry registry = new JobRegistry();
    for (Map.Entry<String, byte[]> entry : records.entrySet()) {
      try {
        decode(entry.getKey(), entry.getValue(), registry, context);
      } catch (UnreadableRecordException e) {
        context.note(BatchLogEvent.RECORD_UNREADABLE, entry.getKey(), e.getMessage());
      }
    }
    return sorted(registry);
  }

  /** Returns the loaded records of maintenance waves. */
  List<KeyedRecord> waveRecords() {
    return records.entrySet().stream()
        .filter(entry -> WaveCodec.isWaveKey(entry.getKey()))
        .map(entry -> new KeyedRecord(entry.getKey(), Optional.of(entry.getValue())))
        .toList();
  }

  /** Returns a loaded record by its key; empty if there is none. */
  Optional<byte[]> record(String key) {
    return Optional.ofNullable(records.get(key));
  }

  private void decode(String key, byte[] value, JobRegistry registry, BatchContext context)
      throws UnreadableRecordException {
    Optional<String> accepted = JobCodec.jobOf(key);
    if (accepted.isPresent()) {
      registry.add(job(accepted.get(), value, context));
      return;
    }
    Optional<String> ended = JobCodec.endedJobOf(key);
    if (ended.isPresent()) {
      // Without a progress record no run is known, and the job must not be started again.
      if (records.containsKey(JobCodec.progressKey(ended.get()))) {
        registry.add(job(ended.get(), value, context));
      }
      return;
    }
    if (JobCodec.isEarlyCancelKey(key)) {
      JobCodec.decodeEnd(key, value)
          .ifPresent(end -> registry.addEarlyCancel(key, end, context.nowNanos()));
      return;
    }
    Optional<String> progressOf = JobCodec.progressOf(key);
    if (progressOf.isPresent()) {
      Optional<JobRegistry.EndedJob> end = JobCodec.decodeEnd(progressOf.get(), value);
      if (end.isPresent()) {
        registry.addEnded(progressOf.get(), end.get(), context.nowNanos());
        if (FormerFailures.mayCount(end.get().endedMillis(), context)) {
          failuresOfEnded.addAll(JobCodec.failuresOfEnded(progressOf.get(), value));
        }
      }
    }
  }

  /** Returns when steps have failed under former owners, known once the records are decoded. */
  FormerFailures failures(JobRegistry registry, BatchContext context) {
    List<Long> failures = new ArrayList<>(failuresOfEnded);
    for (ActiveJob job : registry.activeJobs()) {
      if (job.open()) {
        job.steps()
            .forEach(step -> step.lastFailedMillis(context.wallMillis()).ifPresent(failures::add));
      }
    }
    return FormerFailures.of(failures, context);
  }

  private ActiveJob job(String id, byte[] value, BatchContext context)
      throws UnreadableRecordException {
    ActiveJob job = new ActiveJob(JobCodec.decodeJob(id, value));
    byte[] progress = records.get(JobCodec.progressKey(id));
    if (progress != null) {
      JobCodec.restore(job, progress, context.nowNanos());
    }
    return job;
  }

  /**
   * Sorts the open jobs by the time of their acceptance; the store returns keys in its own order.
   */
  private static JobRegistry sorted(JobRegistry registry) {
    List<ActiveJob> jobs = new ArrayList<>(registry.activeJobs());
    jobs.sort(
        (one, other) -> Long.compare(one.job().acceptedMillis(), other.job().acceptedMillis()));
    JobRegistry sorted = registry.withoutActiveJobs();
    jobs.forEach(sorted::add);
    return sorted;
  }

  /** Returns the live runs of all loaded jobs, including jobs that have ended. */
  static List<LiveRun> inheritedRuns(JobRegistry registry) {
    return registry.activeJobs().stream().flatMap(job -> job.liveRuns().stream()).toList();
  }
}
