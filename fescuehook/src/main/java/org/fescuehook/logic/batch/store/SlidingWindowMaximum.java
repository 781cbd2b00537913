package org.fescuehook.logic.batch.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.fescuehook.logic.batch.BatchTurn;

/**
 * Times that were measured lately, of which the longest counts. A store that turns slow shows with
 * the first of them, where a mean would follow behind; one that is quick again with time.
 */
public final class SlidingWindowMaximum {

  /** A slow store shows several times within it, and a single late answer counts no longer. */
  private static final long KEPT_NANOS = Duration.ofSeconds(10).toNanos();

  /** Falling times: one that is no longer than a newer one can never be the longest. */
  private final Deque<Measured> falling = new ArrayDeque<>();

  private record Measured(long nanos, long at) {}

  /** Takes in a time that has just been measured. */
  public void add(long nanos, BatchTurn turn) {
    while (!falling.isEmpty() && falling.getLast().nanos() <= nanos) {
      falling.removeLast();
    }
    falling.addLast(new Measured(nanos, turn.nowNanos()));
  }

  /** Returns the longest in nanoseconds; zero if none was measured lately. */
  public long longest(BatchTurn turn) {
    while (!falling.isEmpty() && turn.nowNanos() - falling.getFirst().at() > KEPT_NANOS) {
      falling.removeFirst();
    }
    return falling.isEmpty() ? 0 : falling.getFirst().nanos();
  }
}
