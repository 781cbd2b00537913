package org.fescuehook.logic.batch.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.ownership.StoreReachability;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.preferences.BatchPreferences;

/** Decides which submissions an owner refuses, and when their callers shall come back. */
public final class Admission {

  /** Shortest delay after which callers retry a refused call. */
  private static final long MIN_RETRY_AFTER_MILLIS = 1000;

  /**
   * Longest delay after which callers retry a refused call. With it, their few attempts span about
   * 12 s, which is the longest outage of the store that the users expect.
   */
  private static final long MAX_RETRY_AFTER_MILLIS = 3000;

  /**
   * Age of the last store contact above which a submission is refused instead of being sent to the
   * store; it is longer while the store is slow. A submission that was sent to the store but not
   * answered leaves its caller uncertain whether it was accepted.
   */
  private static final Duration STORE_REACHABLE_AGE = Duration.ofMillis(1200);

  /** Longest time that a caller waits for an answer; forwarded calls do not state it. */
  private static final long CALLER_TIMEOUT_NANOS = Duration.ofMillis(2800).toNanos();

  private final StateWriter writer;
  private final BatchPreferences preferences;
  private final Optional<BacklogAdmission> backlog;
  private boolean stopping;
  private long storeAgeMillis;

  /**
   * Creates the decisions of a new owner.
   *
   * @param load measures the backlog; not used while the preferences leave it out of account
   */
  public Admission(StateWriter writer, BatchPreferences preferences, LoadMeter load) {
    this.writer = writer;
    this.preferences = preferences;
    this.backlog =
        preferences.scheduling().backlogAdmission()
            ? Optional.of(new BacklogAdmission(load, preferences.scheduling().fairShares()))
            : Optional.empty();
  }

  /**
   * The refusal of a submission.
   *
   * @param retryAfterMillis delay after which the caller shall retry
   */
  public record Refusal(RefusalCause cause, long retryAfterMillis) {}

  /** Refuses all submissions from now on. */
  public void beginStop() {
    stopping = true;
  }

  /** Returns whether all submissions are refused. */
  public boolean stopping() {
    return stopping;
  }

  /**
   * Notes how well the store can be reached.
   *
   * @param contact what the heartbeats tell of it
   * @return when the store was last reached, monotonic time
   */
  public long update(StoreReachability contact, BatchContext context) {
    long storeSeenAt = storeSeenAt(contact.confirmedAt());
    // The job stream may be unavailable while the ownership stream, with the heartbeats, is not.
    long unreachableSince = Math.min(storeSeenAt, writer.failingSince().orElse(storeSeenAt));
    storeAgeMillis = Duration.ofNanos(context.nowNanos() - unreachableSince).toMillis();
    backlog.ifPresent(part -> part.update(context));
    return storeSeenAt;
  }

  /**
   * Returns when the store was last reached, by a heartbeat or by an append to the job stream.
   * After an outage a heartbeat may hang for a second while jobs are stored again.
   */
  private long storeSeenAt(long heartbeatAt) {
    long storedAt = writer.lastReachedAt().orElse(heartbeatAt);
    return storedAt - heartbeatAt > 0 ? storedAt : heartbeatAt;
  }

  /**
   * Returns how a submission is refused; empty if it is not.
   *
   * @param patience how long its caller waits for the answer
   */
  public Optional<Refusal> refusal(
      NewJob job, Duration patience, StoreReachability contact, BatchContext context) {
    Optional<RefusalCause> cause = cause(job.queue(), patience, contact, context);
    if (cause.isPresent()) {
      return Optional.of(new Refusal(cause.get(), retryAfterMillis(job, cause.get(), context)));
    }
    return backlog
        .flatMap(part -> part.refuse(job, context))
        .map(delay -> new Refusal(RefusalCause.BACKLOG, delay));
  }

  private Optional<RefusalCause> cause(
      JobQueue queue, Duration patience, StoreReachability contact, BatchContext context) {
    if (stopping) {
      return Optional.of(RefusalCause.STOPPING);
    }
    if (queue.advised() && !preferences.adviceAvailable()) {
      return Optional.of(RefusalCause.UNSUPPORTED);
    }
    return cannotStoreInTime(patience, contact, context)
        ? Optional.of(RefusalCause.STORE_AWAY)
        : Optional.empty();
  }

  private boolean cannotStoreInTime(
      Duration patience, StoreReachability contact, BatchContext context) {
    long ageNanos = context.nowNanos() - storeSeenAt(contact.confirmedAt());
    boolean away =
        ageNanos > contact.maxHeartbeatAgeNanos(STORE_REACHABLE_AGE)
            || writer.storeUnavailable(context);
    long waitsNanos = Math.min(patience.toNanos(), CALLER_TIMEOUT_NANOS);
    return away || writer.estimatedStoreNanos(contact.lastAppendNanos(), context) > waitsNanos;
  }

  private long retryAfterMillis(NewJob job, RefusalCause cause, BatchContext context) {
    // A caller whose job is not supported here gains nothing by waiting for longer.
    boolean passes = cause != RefusalCause.UNSUPPORTED;
    return backlog
        .filter(part -> passes)
        .map(part -> part.refuseForStore(job, storeAgeMillis, context.nowNanos()))
        .orElseGet(this::retryAfterMillis);
  }

  /**
   * Returns the refusal of a call whose queue or key may have been declared since the operators'
   * records were read.
   */
  public Refusal staleConfiguration(BatchCall call, long ageMillis, BatchContext context) {
    String key = NewJob.key(call.queue(), call.subject());
    long delay =
        backlog
            .filter(part -> call instanceof BatchCall.Submit)
            .map(part -> part.refuseForConfiguration(key, ageMillis, context.nowNanos()))
            .orElseGet(this::retryAfterMillis);
    return new Refusal(RefusalCause.STALE_CONFIGURATION, delay);
  }

  /** Records that a job is stored. */
  public void stored(NewJob job, List<BatchCommand> outgoing) {
    backlog.ifPresent(part -> part.stored(job, outgoing));
  }

  /**
   * Returns the retry delay of a submission whose id another job has: the time until the state of
   * that job is no longer reported, or the shortest time until then if the job is open.
   *
   * @param endedMillis when the other job ended, milliseconds since 1970; empty if it is open
   */
  public long retryOfUsedIdMillis(OptionalLong endedMillis, BatchContext context) {
    long retention = preferences.statusRetention().toMillis();
    long elapsed = context.wallMillis() - endedMillis.orElse(context.wallMillis());
    return Math.max(MIN_RETRY_AFTER_MILLIS, retention - Math.max(0, elapsed));
  }

  /** Returns the retry delay for callers: an outage may last as long again as it has lasted. */
  public long retryAfterMillis() {
    return Math.clamp(storeAgeMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }

  /**
   * Returns what tells the retry delay of an admitted job if the store turns out not to have stored
   * it.
   */
  public LongSupplier retryIfNotStored(NewJob job) {
    if (backlog.isEmpty()) {
      long delay = retryAfterMillis();
      return () -> delay;
    }
    return () -> backlog.get().refuseForStore(job, storeAgeMillis, backlog.get().nowNanos());
  }
}
