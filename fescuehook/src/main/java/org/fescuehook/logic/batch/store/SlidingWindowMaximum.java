package org.fescuehook.logic.batch.store;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.fescuehook.logic.batch.BatchContext;

/**
 * The maximum of the durations measured within a sliding window. Unlike a mean, it shows at once
 * that the store has become slow; that it is fast again shows once the window has passed.
 */
public final class SlidingWindowMaximum {

  /**
   * Length of the window: a slow store yields several samples within it, and a single late answer
   * counts no longer than this.
   */
  private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

  /**
   * Samples in descending order; one that is no longer than a newer one can never be the maximum.
   */
  private final Deque<Sample> descending = new ArrayDeque<>();

  private record Sample(long nanos, long at) {}

  /** Adds a duration that has just been measured. */
  public void add(long nanos, BatchContext context) {
    while (!descending.isEmpty() && descending.getLast().nanos() <= nanos) {
      descending.removeLast();
    }
    descending.addLast(new Sample(nanos, context.nowNanos()));
  }

  /** Returns the maximum in nanoseconds; zero if there are no samples in the window. */
  public long longest(BatchContext context) {
    while (!descending.isEmpty()
        && context.nowNanos() - descending.getFirst().at() > WINDOW_NANOS) {
      descending.removeFirst();
    }
    return descending.isEmpty() ? 0 : descending.getFirst().nanos();
  }
}
