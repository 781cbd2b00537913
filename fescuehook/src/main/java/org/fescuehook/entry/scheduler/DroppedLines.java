package org.fescuehook.entry.scheduler;

/**
 * Summary of log lines that were dropped.
 *
 * @param count number of dropped lines
 * @param decisions number of dropped lines about decisions
 * @param firstMillis time at which the oldest of them was logged, in milliseconds since 1970
 * @param lastMillis time at which the newest of them was logged, in milliseconds since 1970
 */
record DroppedLines(long count, long decisions, long firstMillis, long lastMillis) {

  static final DroppedLines NONE = new DroppedLines(0, 0, Long.MAX_VALUE, Long.MIN_VALUE);

  static DroppedLines one(boolean decision, long millis) {
    return new DroppedLines(1, decision ? 1 : 0, millis, millis);
  }

  DroppedLines plus(DroppedLines other) {
    return new DroppedLines(
        count + other.count,
        decisions + other.decisions,
        Math.min(firstMillis, other.firstMillis),
        Math.max(lastMillis, other.lastMillis));
  }

  boolean isEmpty() {
    return count == 0;
  }
}
