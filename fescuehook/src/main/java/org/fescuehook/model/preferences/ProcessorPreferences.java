package org.fescuehook.model.preferences;

/**
 * Processing power that a VM may use.
 *
 * @param share fraction of a core that the VM may use, 0 to 1
 * @param speedFactor speed of that core as a multiple of the usual speed
 */
public record ProcessorPreferences(double share, double speedFactor) {

  private static final double MILLI = 1000;

  /** Returns the processing power in thousandths of a core of usual speed. */
  public int milliCores() {
    return (int) Math.round(share * speedFactor * MILLI);
  }
}
