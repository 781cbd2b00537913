package org.fescuehook.entry.scheduler;

/**
 * Lines that the log had to drop.
 *
 * @param count how many
 * @param decisions how many of them tell of decisions about requests
 * @param firstMillis when the oldest of them was logged, milliseconds since 1970
 * @param lastMillis when the newest of them was logged
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
