package org.fescuehook.logic.story;

/** A stretch of a VM's log of which lines are missing. */
public sealed interface LogGap {

  /** Returns the VM whose lines are missing. */
  String vm();

  /**
   * Returns when the line before was logged, milliseconds since 1970; the least if there is none.
   */
  long fromMillis();

  /** Returns when the line after was logged; the greatest if there is none. */
  long toMillis();

  /** Tells whether the gap has a part in a time. */
  default boolean touches(long firstMillis, long lastMillis) {
    return fromMillis() <= lastMillis && toMillis() >= firstMillis;
  }

  /**
   * Lines between two others of the same process.
   *
   * @param lines how many
   */
  record Missing(String vm, long fromMillis, long toMillis, long lines) implements LogGap {}

  /** A process that ended without a planned stop, and so perhaps with lines unwritten. */
  record CutOff(String vm, long fromMillis, long toMillis) implements LogGap {}

  /** The end of the log of a process that was lost, or has nothing to log. */
  record OpenEnd(String vm, long fromMillis) implements LogGap {

    @Override
    public long toMillis() {
      return Long.MAX_VALUE;
    }
  }
}
