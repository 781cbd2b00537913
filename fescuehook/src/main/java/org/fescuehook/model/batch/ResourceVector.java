package org.fescuehook.model.batch;

/**
 * Amounts of resources: the demand of a task, or the capacity of an executor.
 *
 * @param milliCores thousandths of a processor core
 * @param memoryMegabytes memory in units of 2^20 bytes
 * @param accelerators number of accelerators
 */
public record ResourceVector(int milliCores, int memoryMegabytes, int accelerators) {

  /** No resources. */
  public static final ResourceVector NONE = new ResourceVector(0, 0, 0);

  /** Cores that one accelerator counts as in {@link #coreEquivalents()}, as on the platform. */
  private static final double CORES_PER_ACCELERATOR = 8.0;

  private static final double MILLI = 1000.0;

  /** Returns the sum of this and the other amounts. */
  public ResourceVector plus(ResourceVector other) {
    return new ResourceVector(
        milliCores + other.milliCores,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  /** Returns the difference of this and the other amounts; components may become negative. */
  public ResourceVector minus(ResourceVector other) {
    return new ResourceVector(
        milliCores - other.milliCores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /** Returns these amounts multiplied by a factor. */
  public ResourceVector times(int count) {
    return new ResourceVector(milliCores * count, memoryMegabytes * count, accelerators * count);
  }

  /** Returns whether each component of the other amounts is at most that of this one. */
  public boolean contains(ResourceVector other) {
    return milliCores >= other.milliCores
        && memoryMegabytes >= other.memoryMegabytes
        && accelerators >= other.accelerators;
  }

  /** Returns how often the given unit fits into these amounts; 0 if a component is negative. */
  public int fits(ResourceVector unit) {
    int most = Integer.MAX_VALUE;
    most = Math.min(most, fits(milliCores, unit.milliCores));
    most = Math.min(most, fits(memoryMegabytes, unit.memoryMegabytes));
    most = Math.min(most, fits(accelerators, unit.accelerators));
    return most;
  }

  /** Returns the size as a number of cores, with each accelerator counted as several cores. */
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
