package org.fescuehook.logic.batch.statistics;

/**
 * The use of an organisation in steps of half of its entitled share. Within a level, work is
 * ordered by its acceptance, so that differences of use that are too small to matter, such as a
 * single job more or less, do not reorder it with each plan.
 *
 * @param value number of halves of the entitled share
 */
public record UsageLevel(int value) implements Comparable<UsageLevel> {

  /** No use, or hardly any. */
  public static final UsageLevel NONE = new UsageLevel(0);

  private static final int TENTHS = 5;
  private static final double WIDTH = TENTHS / 10.0;

  /**
   * How far the use must be from the middle of its level, in widths, until the level changes. It
   * exceeds one half, so that a use near the limit of two levels does not change it to and fro.
   */
  private static final double MAX_DISTANCE = 0.7;

  /** The level at which an organisation has clearly more than the share it is entitled to. */
  private static final UsageLevel EXCEEDING = new UsageLevel(3);

  private static final UsageLevel LARGEST = new UsageLevel(1000);

  /** Returns the level after a change of the use. */
  UsageLevel next(double use) {
    double widths = Math.min(use / WIDTH, LARGEST.value);
    return Math.abs(widths - value) <= MAX_DISTANCE
        ? this
        : new UsageLevel((int) Math.round(widths));
  }

  /** Returns the use in the middle of this level, relative to the entitled share. */
  public double use() {
    return value * WIDTH;
  }

  /** Returns the same in tenths of the entitled share. */
  int tenths() {
    return value * TENTHS;
  }

  /** Tells whether the organisation has clearly more than the share that it is entitled to. */
  public boolean exceedsShare() {
    return compareTo(EXCEEDING) >= 0;
  }

  @Override
  public int compareTo(UsageLevel other) {
    return Integer.compare(value, other.value);
  }
}
