package org.fescuehook.logic.batch.ownership;

import java.time.Duration;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchTurn;
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
  private long lastAppendNanos;

  /**
   * Records that this VM is running, which detects pauses of it. The first call starts the first
   * read.
   */
  void recordActivity(BatchTurn turn) {
    if (lastReadAt.isEmpty()) {
      lastReadAt = OptionalLong.of(turn.nowNanos());
    }
    long idle = turn.nowNanos() - lastActiveAt.orElse(turn.nowNanos());
    pausedNanos += idle > MAX_USUAL_IDLE_NANOS ? idle : 0;
    lastActiveAt = OptionalLong.of(turn.nowNanos());
  }

  /**
   * Records that a read has reached the end of the stream; the first one does not wait for a
   * record.
   */
  void readCompleted(BatchTurn turn) {
    // A pause of this VM is not time that the store took.
    long since = turn.nowNanos() - lastReadAt.orElse(turn.nowNanos()) - pausedNanos;
    readTimes.add(Math.max(0, since - (readsWaitForRecord ? READ_INTERVAL_NANOS : 0)), turn);
    startNextRead(turn);
  }

  /** Records that a read has failed, so that its duration says nothing about the store. */
  void readFailed(BatchTurn turn) {
    startNextRead(turn);
  }

  private void startNextRead(BatchTurn turn) {
    lastReadAt = OptionalLong.of(turn.nowNanos());
    pausedNanos = 0;
    readsWaitForRecord = true;
  }

  /** Records how long the store took to answer a claim or heartbeat of this VM. */
  void appended(long nanos, BatchTurn turn) {
    lastAppendNanos = nanos;
    appendTimes.add(nanos, turn);
  }

  /** Records the gap between the last two heartbeats of the owner. */
  void heartbeatReceived(long gapNanos, BatchTurn turn) {
    heartbeatGaps.add(gapNanos, turn);
    double weight = gapNanos > usualGapNanos ? LONGER_GAP_WEIGHT : SHORTER_GAP_WEIGHT;
    usualGapNanos += weight * (gapNanos - usualGapNanos);
  }

  /**
   * Tells whether the next read is overdue, by more than is usual at present. Silence of the owner
   * says nothing then, as it may have written all the time.
   */
  boolean readOverdue(BatchTurn turn) {
    if (lastReadAt.isEmpty()) {
      return false;
    }
    long allowedDelay = Math.max(MIN_READ_DELAY_NANOS, 2 * readTimes.longest(turn));
    return turn.nowNanos() - lastReadAt.getAsLong() > READ_INTERVAL_NANOS + allowedDelay;
  }

  /**
   * Returns how well this VM reaches the store, by its own appends.
   *
   * @param confirmedAt when the last heartbeat that the store confirmed was sent, monotonic time
   */
  StoreContact storeReachability(long confirmedAt, BatchTurn turn) {
    return new StoreContact(confirmedAt, lastAppendNanos, appendTimes.longest(turn));
  }

  /** Returns the silence after which an owner is replaced. */
  long silenceTimeoutNanos(BatchTurn turn) {
    long ofHeartbeats =
        Math.max(
            HEARTBEATS_AT_LONGEST_GAP * heartbeatGaps.longest(turn),
            Math.round(HEARTBEATS_AT_USUAL_GAP * usualGapNanos));
    long needed = Math.max(ofHeartbeats, heartbeatDelayNanos(turn) + readTimes.longest(turn));
    return Math.clamp(needed, MIN_SILENCE_NANOS, MAX_SILENCE_NANOS);
  }

  /**
   * Returns the silence after which a suspected owner is replaced. If this VM's own reads are slow,
   * the store explains the owner's trouble, and another owner would do no better.
   */
  long suspectedSilenceTimeoutNanos(BatchTurn turn) {
    if (readTimes.longest(turn) > SLOW_READ_NANOS) {
      return silenceTimeoutNanos(turn);
    }
    long needed =
        Math.max(heartbeatGaps.longest(turn) + readTimes.longest(turn), heartbeatDelayNanos(turn));
    return Math.clamp(needed, MIN_SUSPECTED_SILENCE_NANOS, MAX_SILENCE_NANOS);
  }

  /** Returns the pause after a claim that was not successful. */
  long claimPauseNanos(BatchTurn turn) {
    return MIN_CLAIM_PAUSE_NANOS + 2 * readTimes.longest(turn);
  }

  /**
   * Returns the least time after which this VM could claim, if nothing is heard until then.
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
  private long heartbeatDelayNanos(BatchTurn turn) {
    long read = readTimes.longest(turn);
    return HEARTBEAT_NANOS + Math.max(appendTimes.longest(turn), 2 * read) + read;
  }
}
