package org.fescuehook.logic.batch.plan;

import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.Map;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.statistics.ExecutorSpeeds;

/** The classes of the executors' speeds while a plan is made. */
final class SpeedClasses {

  /** All executors count as equally fast. */
  static final SpeedClasses EQUAL = new SpeedClasses(Map.of());

  private final Map<ExecutorState, Double> logSpeeds;

  SpeedClasses(Map<ExecutorState, Double> logSpeeds) {
    this.logSpeeds = logSpeeds;
  }

  /** Returns the classes of executors as they are now. */
  static SpeedClasses of(
      Collection<ExecutorState> executors, ExecutorSpeeds speeds, long nowNanos) {
    if (!speeds.enabled()) {
      return EQUAL;
    }
    Map<ExecutorState, Double> logSpeeds = new IdentityHashMap<>();
    for (ExecutorState executor : executors) {
      double speed = speeds.logSpeed(executor.incarnation(), nowNanos);
      if (speed != 0) {
        logSpeeds.put(executor, speed);
      }
    }
    return new SpeedClasses(logSpeeds);
  }

  /** Returns the class of an executor; 0 is the usual speed. */
  int of(ExecutorState executor) {
    return ExecutorSpeeds.speedClass(logSpeeds.getOrDefault(executor, 0.0));
  }
}
