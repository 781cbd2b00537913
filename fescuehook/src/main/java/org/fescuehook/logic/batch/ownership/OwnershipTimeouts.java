package org.fescuehook.logic.batch.ownership;

import java.time.Duration;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.store.SlidingWindowMaximum;

/**
 * Timeouts of the ownership protocol, adapted to how long reads, appends and heartbeats have
 * recently taken on this VM. An owner whose heartbeats the store delays is alive, and one whose
 * heartbeats this VM reads late may be.
 *
 * <p>While the store is fast, all timeouts have their minimum, so that a dead owner is replaced as
 * early as possible.
 */
final class OwnershipTimeouts {

  /** Interval between heartbeats; four of them fit into {@link #MIN_SILENCE_NANOS}. */
  static final long HEARTBEAT_NANOS = Duration.ofMillis(500).toNanos();

  /**
   * Least silence of the owner after which another VM claims ownership. The silence, the take-over
   * and the first lease renewals have to fit into a lease of 6 s.
   */
  private static final long MIN_SILENCE_NANOS = Duration.ofMillis(2000).toNanos();

  /**
   * Least silence after which a suspected owner is replaced: one that reports that it cannot reach
   * the store, or to which no connection can be opened.
   */
  private static final long MIN_SUSPECTED_SILENCE_NANOS = Duration.ofMillis(1000).toNanos();

  /**
   * Least pause between claims. A claim without an answer may still be stored, and if a claim came
   * too late the winner's record is read within about 0.4 s.
   */
  private static final long MIN_CLAIM_PAUSE_NANOS = Duration.ofMillis(700).toNanos();

  /** Longest silence that is tolerated, however slow the store is; leases have expired by then. */
  private static final long MAX_SILENCE_NANOS = Duration.ofSeconds(12).toNanos();

  /**
   * Longest silence that is tolerated while the store is shown to be fast, whatever it was like
   * before. A read with its pause, the claim and the load of the jobs follow it, and the first
   * lease renewals then still fit into a lease of 6 s.
   */
  private static final long MAX_SILENCE_IN_FAST_STORE_NANOS = Duration.ofMillis(3000).toNanos();

  /**
   * Duration of a read from which on the store counts as slow for this VM; about 40 times the usual
   * 4 ms.
   */
  private static final long SLOW_READ_NANOS = Duration.ofMillis(150).toNanos();

  /**
   * Number of heartbeats, at their usual gap, that fit into the silence after which an owner is
   * replaced.
   */
  private static final int HEARTBEATS_AT_USUAL_GAP = 4;

  /** Number of heartbeats, at the longest recent gap, that fit into that silence. */
  private static final int HEARTBEATS_AT_LONGEST_GAP = 2;

  /**
   * Weights of a new gap in the usual gap: the usual gap adapts faster to a store that becomes slow
   * than to one that becomes fast again.
   */
  private static final double LONGER_GAP_WEIGHT = 1.0 / 2;

  private static final double SHORTER_GAP_WEIGHT = 1.0 / 8;

  /**
   * Longest append of the owner that shows a fast store; some five times the usual one. While the
   * store loses answers, an append takes longer, since it is repeated.
   */
  private static final long FAST_APPEND_NANOS = Duration.ofMillis(50).toNanos();

  /**
   * Number of consecutive heartbeats in time, each of which reports a fast append, after which the
   * store counts as fast again. Several records that were stored late may arrive in time as well,
   * but their appends were slow.
   */
  private static final int FAST_HEARTBEATS = 3;

  /** Longest gap between two heartbeats of which the second one is in time. */
  private static final long IN_TIME_GAP_NANOS = 2 * HEARTBEAT_NANOS;

  /** Interval between reads while the store is fast: a pause, and the wait for a record. */
  private static final long READ_INTERVAL_NANOS = Duration.ofMillis(1400).toNanos();

  /** Least delay of a read from which on silence of the owner is ignored. */
  private static final long MIN_READ_DELAY_NANOS = Duration.ofMillis(700).toNanos();

  /**
   * Longest usual time between two events on a VM that is running; one that is on standby sleeps
   * for up to 1 s.
   */
  private static final long MAX_USUAL_IDLE_NANOS = Duration.ofMillis(1500).toNanos();

  private final SlidingWindowMaximum readTimes = new SlidingWindowMaximum();
  private final SlidingWindowMaximum appendTimes = new SlidingWindowMaximum();
  private final SlidingWindowMaximum heartbeatGaps = new SlidingWindowMaximum();
  private OptionalLong lastReadAt = OptionalLong.empty();
  private boolean readsWaitForRecord;
  private OptionalLong lastActiveAt = OptionalLong.empty();

  /** How long this VM was paused since the last read. */
  private long pausedNanos;

  private double usualGapNanos = HEARTBEAT_NANOS;
  private int fastHeartbeats;
  private long lastAppendNanos;

  /**
   * Records that this VM is running, which detects pauses of it. The first call starts the first
   * read.
   */
  void recordActivity(BatchContext context) {
    if (lastReadAt.isEmpty()) {
      lastReadAt = OptionalLong.of(context.nowNanos());
    }
    long idle = context.nowNanos() - lastActiveAt.orElse(context.nowNanos());
    pausedNanos += idle > MAX_USUAL_IDLE_NANOS ? idle : 0;
    lastActiveAt = OptionalLong.of(context.nowNanos());
  }

  /**
   * Records that a read has reached the end of the stream; the first one does not wait for a
   * record.
   */
  void readCompleted(BatchContext context) {
    // A pause of this VM is not time that the store took.
    long since = context.nowNanos() - lastReadAt.orElse(context.nowNanos()) - pausedNanos;
    readTimes.add(Math.max(0, since - (readsWaitForRecord ? READ_INTERVAL_NANOS : 0)), context);
    startNextRead(context);
  }

  /** Records that a read has failed, so that its duration says nothing about the store. */
  void readFailed(BatchContext context) {
    startNextRead(context);
  }

  private void startNextRead(BatchContext context) {
    lastReadAt = OptionalLong.of(context.nowNanos());
    pausedNanos = 0;
    readsWaitForRecord = true;
  }

  /** Records how long the store took to answer a claim or heartbeat of this VM. */
  void appended(long nanos, BatchContext context) {
    lastAppendNanos = nanos;
    appendTimes.add(nanos, context);
  }

  /**
   * Records a heartbeat of the owner.
   *
   * @param gapNanos time since the heartbeat before it
   * @param appendNanos how long the owner's last append took, by its own measure; 0 if unknown
   */
  void heartbeatReceived(long gapNanos, long appendNanos, BatchContext context) {
    heartbeatGaps.add(gapNanos, context);
    double weight = gapNanos > usualGapNanos ? LONGER_GAP_WEIGHT : SHORTER_GAP_WEIGHT;
    usualGapNanos += weight * (gapNanos - usualGapNanos);
    boolean fast =
        appendNanos > 0 && appendNanos <= FAST_APPEND_NANOS && gapNanos <= IN_TIME_GAP_NANOS;
    fastHeartbeats = fast ? fastHeartbeats + 1 : 0;
  }

  /**
   * Tells whether the next read is overdue, by more than is usual at present. Silence of the owner
   * says nothing then, as it may have written all the time.
   */
  boolean readOverdue(BatchContext context) {
    if (lastReadAt.isEmpty()) {
      return false;
    }
    long allowedDelay = Math.max(MIN_READ_DELAY_NANOS, 2 * readTimes.longest(context));
    return context.nowNanos() - lastReadAt.getAsLong() > READ_INTERVAL_NANOS + allowedDelay;
  }

  /**
   * Returns how well this VM reaches the store, by its own appends.
   *
   * @param confirmedAt when the last heartbeat that the store confirmed was sent, monotonic time
   */
  StoreReachability storeReachability(long confirmedAt, BatchContext context) {
    return new StoreReachability(confirmedAt, lastAppendNanos, appendTimes.longest(context));
  }

  /** Returns the silence after which an owner is replaced. */
  long silenceNanos(BatchContext context) {
    boolean fastStore = fastHeartbeats >= FAST_HEARTBEATS;
    long longest = fastStore ? MAX_SILENCE_IN_FAST_STORE_NANOS : MAX_SILENCE_NANOS;
    return Math.clamp(silenceBounds(context).greatest(), MIN_SILENCE_NANOS, longest);
  }

  /** Returns the bounds from which the silence follows after which an owner is replaced. */
  SilenceBounds silenceBounds(BatchContext context) {
    return new SilenceBounds(
        HEARTBEATS_AT_LONGEST_GAP * heartbeatGaps.longest(context),
        Math.round(HEARTBEATS_AT_USUAL_GAP * usualGapNanos),
        heartbeatDelayNanos(context) + readTimes.longest(context));
  }

  /**
   * Returns the silence after which a suspected owner is replaced. If this VM's own reads are slow,
   * the store explains the owner's trouble, and another owner would do no better.
   */
  long suspectedSilenceNanos(BatchContext context) {
    if (readTimes.longest(context) > SLOW_READ_NANOS) {
      return silenceNanos(context);
    }
    long needed =
        Math.max(
            heartbeatGaps.longest(context) + readTimes.longest(context),
            heartbeatDelayNanos(context));
    return Math.clamp(needed, MIN_SUSPECTED_SILENCE_NANOS, MAX_SILENCE_NANOS);
  }

  /** Returns the pause after a claim that was not successful. */
  long claimPauseNanos(BatchContext context) {
    return MIN_CLAIM_PAUSE_NANOS + 2 * readTimes.longest(context);
  }

  /**
   * Returns the least time after which this VM could claim, if it reads nothing from the owner
   * until then.
   *
   * @param silentNanos how long the owner has been silent
   */
  static Duration minTimeToClaim(long silentNanos) {
    return Duration.ofNanos(Math.max(0, MIN_SUSPECTED_SILENCE_NANOS - silentNanos));
  }

  /**
   * Returns how long it takes until a heartbeat is read: its append waits in the queue of the store
   * and is then processed, each for about as long as a read takes.
   */
  private long heartbeatDelayNanos(BatchContext context) {
    long read = readTimes.longest(context);
    return HEARTBEAT_NANOS + Math.max(appendTimes.longest(context), 2 * read) + read;
  }
}
