package org.fescuehook.model.preferences;

/**
 * The processor that a VM has for its work.
 *
 * @param share share of a core, 0 to 1
 * @param cores how many times as fast as a core of usual speed
 */
public record ProcessorPreferences(double share, double cores) {

  private static final double MILLI = 1000;

  /** Returns the processing power in thousandths of a core of usual speed. */
  public int milliCores() {
    return (int) Math.round(share * cores * MILLI);
  }
}
