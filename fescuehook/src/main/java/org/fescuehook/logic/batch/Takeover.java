package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.ownership.StoreReachability;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.JobCodec;
import org.fescuehook.logic.batch.state.JobRegistry;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.PendingCall;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.logic.batch.store.WriterPosition;

/**
 * What a new owner does before it decides: it shuts the former owner out of the jobs' stream by
 * raising the stream's epoch, and then reads the jobs.
 */
final class Takeover {

  /** Pause before a step that the store did not take is repeated. */
  private static final long RETRY_NANOS = Duration.ofMillis(100).toNanos();

  /**
   * How long a take-over may go without a step forward. A page of 1 MB takes 1.2 s over a link of 7
   * Mbit/s, and about as long to read on a third of a core.
   */
  private static final long STALL_NANOS = Duration.ofSeconds(5).toNanos();

  /** Exchanges with the store that fit into it; a step may wait for its turn, and be repeated. */
  private static final int STALL_APPENDS = 3;

  /** Time between two log events that the take-over is not complete. */
  private static final long TELL_NANOS = Duration.ofSeconds(1).toNanos();

  private final long epoch;
  private final long startedAt;
  private final Map<String, byte[]> records = new LinkedHashMap<>();
  private boolean fenced;
  private final PendingCall underWay = new PendingCall(PendingCall.PAGE_TIMEOUT);
  private boolean loaded;
  private Optional<String> afterKey = Optional.empty();
  private long retryAt;
  private long toldAt;
  private long progressAt;

  Takeover(long epoch, BatchContext context) {
    this.epoch = epoch;
    this.startedAt = context.nowNanos();
    this.retryAt = context.nowNanos();
    this.toldAt = context.nowNanos();
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

  /** Tells whether nothing that it waits for has come for a while. */
  boolean stalled(StoreReachability contact, BatchContext context) {
    long longest = Math.max(STALL_NANOS, STALL_APPENDS * contact.longestAppendNanos());
    return context.nowNanos() - progressAt > longest;
  }

  /** Has the time without a step forward count from now, as nobody could have made one. */
  void excuse(BatchContext context) {
    progressAt = context.nowNanos();
  }

  void step(BatchContext context) {
    if (underWay.isPending(context) || loaded || context.nowNanos() - retryAt < 0) {
      return;
    }
    underWay.begin(context);
    if (!fenced) {
      context.add(
          new BatchCommand.Append(
              StreamName.STATE, new WriterPosition(epoch, 0), OptionalLong.empty(), List.of()));
      return;
    }
    context.add(new BatchCommand.LoadState(epoch, afterKey));
  }

  /**
   * Tells once a second what an owner that does not decide yet waits for.
   *
   * @param missing what it lacks besides the jobs; empty if nothing
   */
  void tellWhatIsMissing(String missing, BatchContext context) {
    if (context.nowNanos() - toldAt < TELL_NANOS) {
      return;
    }
    toldAt = context.nowNanos();
    long millis = Duration.ofNanos(context.nowNanos() - startedAt).toMillis();
    context.note(
        BatchLogEvent.TAKEOVER_UNDER_WAY, epoch, millis, loaded ? missing : missingOfJobs());
  }

  private String missingOfJobs() {
    return fenced ? "jobs, " + records.size() + " records read" : "the epoch of the jobs' stream";
  }

  /** Takes the outcome of raising the epoch; false if another owner has come. */
  boolean answered(WriterPosition position, AppendOutcome outcome, BatchContext context) {
    if (position.epoch() != epoch || fenced) {
      return true;
    }
    underWay.end();
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
    underWay.end();
    retryAt = context.nowNanos() + RETRY_NANOS;
    return true;
  }

  /** Takes a page; one that a former take-over asked for may lack what was accepted since. */
  void read(long askedIn, List<KeyedRecord> page, Optional<String> more, BatchContext context) {
    if (askedIn != epoch || loaded) {
      return;
    }
    underWay.end();
    progressAt = context.nowNanos();
    for (KeyedRecord record : page) {
      record.value().ifPresent(value -> records.put(record.key(), value));
    }
    afterKey = more;
    loaded = more.isEmpty();
  }

  void unreadable(long askedIn, BatchContext context) {
    if (askedIn == epoch) {
      retry(context);
    }
  }

  /** Builds the jobs from what was read; a record that cannot be read is left out and logged. */
  JobRegistry book(BatchContext context) {
    JobRegistry book = new JobRegistry();
    for (Map.Entry<String, byte[]> entry : records.entrySet()) {
      try {
        take(entry.getKey(), entry.getValue(), book, context);
      } catch (UnreadableRecordException e) {
        context.note(BatchLogEvent.RECORD_UNREADABLE, entry.getKey(), e.getMessage());
      }
    }
    return sorted(book);
  }

  private void take(String key, byte[] value, JobRegistry book, BatchContext context)
      throws UnreadableRecordException {
    Optional<String> accepted = JobCodec.jobOf(key);
    if (accepted.isPresent()) {
      book.add(job(accepted.get(), value, context));
      return;
    }
    Optional<String> over = JobCodec.endedJobOf(key);
    if (over.isPresent()) {
      // Without a progress nothing is known to run, and the job is not to be run again.
      if (records.containsKey(JobCodec.progressKey(over.get()))) {
        book.add(job(over.get(), value, context));
      }
      return;
    }
    Optional<String> cancelled = JobCodec.earlyCancelOf(key);
    if (cancelled.isPresent()) {
      JobCodec.decodeEnd(cancelled.get(), value)
          .ifPresent(end -> book.addEarlyCancel(cancelled.get(), end, context.nowNanos()));
      return;
    }
    Optional<String> progressOf = JobCodec.progressOf(key);
    if (progressOf.isPresent()) {
      JobCodec.decodeEnd(progressOf.get(), value)
          .ifPresent(end -> book.addEnded(progressOf.get(), end, context.nowNanos()));
    }
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

  /** The store returns keys in its own order; jobs are kept in the order of their acceptance. */
  private static JobRegistry sorted(JobRegistry book) {
    List<ActiveJob> jobs = new ArrayList<>(book.openJobs());
    jobs.sort(
        (one, other) -> Long.compare(one.job().acceptedMillis(), other.job().acceptedMillis()));
    JobRegistry sorted = book.withoutOpenJobs();
    jobs.forEach(sorted::add);
    return sorted;
  }

  /** Returns the live runs of all jobs, also of those that have ended. */
  static List<LiveRun> inheritedRuns(JobRegistry book) {
    return book.openJobs().stream().flatMap(job -> job.liveRuns().stream()).toList();
  }
}
