package org.fescuehook.logic.story;

/** A period of which lines are, or may be, missing from the log of a VM. */
public sealed interface LogGap {

  /** Returns the VM whose lines are missing. */
  String vm();

  /**
   * Returns the time of the line before the gap, milliseconds since 1970; {@code Long.MIN_VALUE} if
   * there is no such line.
   */
  long fromMillis();

  /**
   * Returns the time of the line after the gap, milliseconds since 1970; {@code Long.MAX_VALUE} if
   * there is no such line.
   */
  long toMillis();

  /** Tells whether the gap overlaps a period. */
  default boolean overlaps(long firstMillis, long lastMillis) {
    return fromMillis() <= lastMillis && toMillis() >= firstMillis;
  }

  /**
   * Lines that are missing between two others of the same process.
   *
   * @param lines number of missing lines
   */
  record Missing(String vm, long fromMillis, long toMillis, long lines) implements LogGap {}

  /** The end of a process that did not stop as planned and may have left lines unwritten. */
  record CutOff(String vm, long fromMillis, long toMillis) implements LogGap {}

  /**
   * The end of the log of a VM's last process without a planned stop: the process was lost, or is
   * running and had nothing more to log.
   */
  record OpenEnd(String vm, long fromMillis) implements LogGap {

    @Override
    public long toMillis() {
      return Long.MAX_VALUE;
    }
  }
}
