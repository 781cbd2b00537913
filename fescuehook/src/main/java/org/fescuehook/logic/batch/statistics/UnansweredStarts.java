package org.fescuehook.logic.batch.statistics;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fescuehook.model.fleet.ExecutorId;

/** Tells unanswered starts that executors cause from those that the network of this VM causes. */
final class UnansweredStarts {

  /** Time in which unanswered starts may share a cause. */
  static final long PERIOD_NANOS = Duration.ofSeconds(1).toNanos();

  /** Number of executors up to which each of them may have a fault of its own. */
  private static final int MAX_SINGLE = 3;

  private final Map<ExecutorId, Long> times = new HashMap<>();

  /** Records a start that was not answered. */
  void add(ExecutorId executor, long nowNanos) {
    times.values().removeIf(at -> nowNanos - at >= PERIOD_NANOS);
    times.put(executor, nowNanos);
  }

  /**
   * Tells whether the cause is on the side of this VM: several executors did not answer lately, and
   * they outnumber those on which runs have ended lately.
   *
   * @param working number of executors on which runs have ended lately
   */
  boolean outnumber(long working) {
    return times.size() > Math.max(MAX_SINGLE, working);
  }

  /** Returns the executors that did not answer lately. */
  Set<ExecutorId> executors() {
    return times.keySet();
  }
}
