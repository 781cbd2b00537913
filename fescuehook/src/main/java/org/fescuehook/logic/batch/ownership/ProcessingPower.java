package org.fescuehook.logic.batch.ownership;

/** Compares the processing power of VMs, in thousandths of a core. */
final class ProcessingPower {

  static final int UNKNOWN = 0;

  /**
   * Ratio of processing power from which on a VM takes over from a weaker owner. The owner's work
   * does not shrink with its VM, and on VMs with a third of a core decisions were delayed by
   * seconds.
   */
  private static final double MUCH_STRONGER = 1.5;

  private ProcessingPower() {}

  /**
   * Tells whether one VM has much more processing power than another; false if that of the other is
   * unknown.
   */
  static boolean muchStronger(int milliCores, int otherMilliCores) {
    return otherMilliCores > UNKNOWN && milliCores >= otherMilliCores * MUCH_STRONGER;
  }
}
