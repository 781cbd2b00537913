package org.fescuehook.model.batch;

/**
 * Resources of a task or an executor.
 *
 * @param milliCores thousandths of a processor core
 * @param memoryMegabytes memory in units of 2^20 bytes
 * @param accelerators number of accelerators
 */
public record ResourceVector(int milliCores, int memoryMegabytes, int accelerators) {

  /** No resources. */
  public static final ResourceVector NONE = new ResourceVector(0, 0, 0);

  /** Cores that one accelerator counts as in {@link #coreEquivalents()}; the platform's rate. */
  private static final double CORES_PER_ACCELERATOR = 8.0;

  private static final double MILLI = 1000.0;

  /** Returns the sum of both. */
  public ResourceVector plus(ResourceVector other) {
    return new ResourceVector(
        milliCores + other.milliCores,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  /** Returns this less the other; components may become negative. */
  public ResourceVector minus(ResourceVector other) {
    return new ResourceVector(
        milliCores - other.milliCores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /** Returns this a number of times. */
  public ResourceVector times(int count) {
    return new ResourceVector(milliCores * count, memoryMegabytes * count, accelerators * count);
  }

  /** Tells whether the other is at most this in each component. */
  public boolean contains(ResourceVector other) {
    return milliCores >= other.milliCores
        && memoryMegabytes >= other.memoryMegabytes
        && accelerators >= other.accelerators;
  }

  /** Returns how many times the unit fits at once; 0 if a component is negative. */
  public int fits(ResourceVector unit) {
    int most = Integer.MAX_VALUE;
    most = Math.min(most, fits(milliCores, unit.milliCores));
    most = Math.min(most, fits(memoryMegabytes, unit.memoryMegabytes));
    most = Math.min(most, fits(accelerators, unit.accelerators));
    return most;
  }

  /** Returns one figure for the size: cores, with each accelerator counted as several cores. */
  public double coreEquivalents() {
    return milliCores / MILLI + accelerators * CORES_PER_ACCELERATOR;
  }

  private static int fits(int room, int unit) {
    if (room < 0) {
      return 0;
    }
    return unit <= 0 ? Integer.MAX_VALUE : room / unit;
  }
}
