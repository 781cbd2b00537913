package org.fescuehook.logic.batch.ownership;

/** Compares the processing power of VMs, in thousandths of a core. */
final class ProcessingPower {

  static final int UNKNOWN = 0;

  /**
   * A VM with this many times the processing power of the owner takes over from it. The owner's
   * work does not shrink with its VM, and on VMs of a third of a core decisions came seconds late.
   */
  private static final double MUCH_STRONGER = 1.5;

  private ProcessingPower() {}

  /** Tells whether one VM has much more power than another; no if that of the other is unknown. */
  static boolean muchStronger(int milliCores, int otherMilliCores) {
    return otherMilliCores > UNKNOWN && milliCores >= otherMilliCores * MUCH_STRONGER;
  }
}
