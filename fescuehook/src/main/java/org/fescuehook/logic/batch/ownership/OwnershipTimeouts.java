package org.fescuehook.logic.batch.ownership;

import java.time.Duration;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.store.SlidingWindowMaximum;

/**
 * How long the exchanges about ownership take, as this VM has seen them itself, and the limits that
 * follow: an owner whose heartbeats the store delays is alive, and one that a VM has not heard of
 * because its own reads are late may be.
 *
 * <p>While the store is quick all limits stand at their least values, so that a dead owner is
 * replaced as soon as it can be.
 */
final class OwnershipTimeouts {

  /** Time between heartbeats; four of them fit into {@link #LEAST_SILENCE_NANOS}. */
  static final long HEARTBEAT_NANOS = Duration.ofMillis(500).toNanos();

  /**
   * Silence of the owner after which another VM claims. A take-over and the first renewals have to
   * fit into a lease of 6 s beside it.
   */
  private static final long LEAST_SILENCE_NANOS = Duration.ofMillis(2000).toNanos();

  /**
   * Silence after which an owner is replaced that is doubted: it says itself that it cannot reach
   * the store, or cannot be connected to.
   */
  private static final long LEAST_DOUBTED_SILENCE_NANOS = Duration.ofMillis(1000).toNanos();

  /**
   * Pause between claims: one without an answer may still land, and of one that came too late the
   * winner's record is read within some 0.4 s.
   */
  private static final long LEAST_CLAIM_PAUSE_NANOS = Duration.ofMillis(700).toNanos();

  /** Longest silence, however slow the store is; leases have run out by then. */
  private static final long LONGEST_SILENCE_NANOS = Duration.ofSeconds(12).toNanos();

  /** A read in a store that is slow for this VM; some tens of the usual 4 ms. */
  private static final long SLOW_READ_NANOS = Duration.ofMillis(150).toNanos();

  /** Heartbeats at their usual pace that fit into the silence after which an owner is replaced. */
  private static final int USUAL_HEARTBEATS = 4;

  /** Heartbeats at the slowest pace of late that fit into it. */
  private static final int SLOW_HEARTBEATS = 2;

  /** Weight of a gap in the usual one: it follows a store that turns slow sooner than its end. */
  private static final double LONGER_WEIGHT = 1.0 / 2;

  private static final double SHORTER_WEIGHT = 1.0 / 8;

  /** Time between two reads in a quick store: a pause, and the wait for a record. */
  private static final long READ_NANOS = Duration.ofMillis(1400).toNanos();

  /** How much later a read may be before nothing is made of a silence. */
  private static final long LEAST_READ_SLACK_NANOS = Duration.ofMillis(700).toNanos();

  /** Longest time between two turns of a VM that runs; one that stands by rests for up to 1 s. */
  private static final long USUAL_TURN_NANOS = Duration.ofMillis(1500).toNanos();

  private final SlidingWindowMaximum reads = new SlidingWindowMaximum();
  private final SlidingWindowMaximum appends = new SlidingWindowMaximum();
  private final SlidingWindowMaximum gaps = new SlidingWindowMaximum();
  private OptionalLong readAt = OptionalLong.empty();
  private boolean waited;
  private OptionalLong ranAt = OptionalLong.empty();

  /** How long this VM did not run since the last read. */
  private long pausedNanos;

  private double usualGapNanos = HEARTBEAT_NANOS;
  private long lastAppendNanos;

  /** Takes in that this VM runs. Reading begins with the first turn. */
  void runs(BatchTurn turn) {
    if (readAt.isEmpty()) {
      readAt = OptionalLong.of(turn.nowNanos());
    }
    long idle = turn.nowNanos() - ranAt.orElse(turn.nowNanos());
    pausedNanos += idle > USUAL_TURN_NANOS ? idle : 0;
    ranAt = OptionalLong.of(turn.nowNanos());
  }

  /** Takes in a read to the end; the first one of a VM does not wait for a record. */
  void read(BatchTurn turn) {
    // A pause of this VM is no time that the store took.
    long since = turn.nowNanos() - readAt.orElse(turn.nowNanos()) - pausedNanos;
    reads.add(Math.max(0, since - (waited ? READ_NANOS : 0)), turn);
    restart(turn);
  }

  /** Takes in that a read has failed, so that nothing is known of how long one takes. */
  void unreadable(BatchTurn turn) {
    restart(turn);
  }

  private void restart(BatchTurn turn) {
    readAt = OptionalLong.of(turn.nowNanos());
    pausedNanos = 0;
    waited = true;
  }

  /** Takes in how long the store took to answer a claim or a heartbeat of this VM. */
  void appended(long nanos, BatchTurn turn) {
    lastAppendNanos = nanos;
    appends.add(nanos, turn);
  }

  /** Takes in how far apart two heartbeats of the owner were read. */
  void heard(long gapNanos, BatchTurn turn) {
    gaps.add(gapNanos, turn);
    double weight = gapNanos > usualGapNanos ? LONGER_WEIGHT : SHORTER_WEIGHT;
    usualGapNanos += weight * (gapNanos - usualGapNanos);
  }

  /**
   * Tells whether the next read is late, by more than is usual at present. A silence says nothing
   * then: the owner may have written all the while.
   */
  boolean readLate(BatchTurn turn) {
    if (readAt.isEmpty()) {
      return false;
    }
    long slack = Math.max(LEAST_READ_SLACK_NANOS, 2 * reads.longest(turn));
    return turn.nowNanos() - readAt.getAsLong() > READ_NANOS + slack;
  }

  /**
   * Returns what this VM's own appends have shown of the store.
   *
   * @param confirmedAt when the last heartbeat that the store confirmed was sent, monotonic time
   */
  StoreContact contact(long confirmedAt, BatchTurn turn) {
    return new StoreContact(confirmedAt, lastAppendNanos, appends.longest(turn));
  }

  /** Returns the silence after which an owner is replaced. */
  long silenceNanos(BatchTurn turn) {
    long ofHeartbeats =
        Math.max(
            SLOW_HEARTBEATS * gaps.longest(turn), Math.round(USUAL_HEARTBEATS * usualGapNanos));
    long needed = Math.max(ofHeartbeats, heartbeatNanos(turn) + reads.longest(turn));
    return Math.clamp(needed, LEAST_SILENCE_NANOS, LONGEST_SILENCE_NANOS);
  }

  /**
   * Returns the silence after which a doubted owner is replaced. Where this VM's own reads are
   * slow, the store explains the owner's trouble, and a claimant would do no better.
   */
  long doubtedSilenceNanos(BatchTurn turn) {
    if (reads.longest(turn) > SLOW_READ_NANOS) {
      return silenceNanos(turn);
    }
    long needed = Math.max(gaps.longest(turn) + reads.longest(turn), heartbeatNanos(turn));
    return Math.clamp(needed, LEAST_DOUBTED_SILENCE_NANOS, LONGEST_SILENCE_NANOS);
  }

  /** Returns the pause after a claim that the store did not take. */
  long claimPauseNanos(BatchTurn turn) {
    return LEAST_CLAIM_PAUSE_NANOS + 2 * reads.longest(turn);
  }

  /**
   * Returns how long the least silence lasts, in which nothing is to be done but to hear.
   *
   * @param quietNanos how long nothing has been heard
   */
  static Duration calmFor(long quietNanos) {
    return Duration.ofNanos(Math.max(0, LEAST_DOUBTED_SILENCE_NANOS - quietNanos));
  }

  /**
   * Returns how long a heartbeat takes until it is read: its append waits for its turn and is then
   * worked on, either for about as long as a read takes.
   */
  private long heartbeatNanos(BatchTurn turn) {
    long read = reads.longest(turn);
    return HEARTBEAT_NANOS + Math.max(appends.longest(turn), 2 * read) + read;
  }
}
