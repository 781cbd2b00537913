package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.Optional;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.ownership.StoreReachability;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.preferences.BatchPreferences;

/** Decides which submissions an owner refuses, and when their callers shall come back. */
final class Admission {

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
  private boolean stopping;
  private long storeAgeMillis;

  Admission(StateWriter writer, BatchPreferences preferences) {
    this.writer = writer;
    this.preferences = preferences;
  }

  /** Refuses all submissions from now on. */
  void beginStop() {
    stopping = true;
  }

  boolean stopping() {
    return stopping;
  }

  /**
   * Notes how well the store can be reached.
   *
   * @param contact what the heartbeats tell of it
   * @return when the store was last reached, monotonic time
   */
  long update(StoreReachability contact, BatchContext context) {
    long storeSeenAt = storeSeenAt(contact.confirmedAt());
    // The job stream may be unavailable while the ownership stream, with the heartbeats, is not.
    long unreachableSince = Math.min(storeSeenAt, writer.failingSince().orElse(storeSeenAt));
    storeAgeMillis = Duration.ofNanos(context.nowNanos() - unreachableSince).toMillis();
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
   * Returns why a submission is refused; empty if it is not.
   *
   * @param patience how long its caller waits for the answer
   */
  Optional<RefusalCause> refusal(
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

  /** Returns the retry delay for callers: an outage may last as long again as it has lasted. */
  long retryAfterMillis() {
    return Math.clamp(storeAgeMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }
}
