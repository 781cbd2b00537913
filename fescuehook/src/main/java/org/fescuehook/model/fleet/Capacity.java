package org.fescuehook.model.fleet;

/**
 * An amount of resources on one worker.
 *
 * @param accelerators number of accelerators
 * @param cores number of processor cores
 * @param memoryMegabytes memory in units of 2^20 bytes
 */
public record Capacity(int accelerators, int cores, long memoryMegabytes) {

  /** No resources. */
  public static final Capacity NONE = new Capacity(0, 0, 0);

  /** Checks that no component is negative. */
  public Capacity {
    if (accelerators < 0 || cores < 0 || memoryMegabytes < 0) {
      throw new IllegalArgumentException("negative capacity");
    }
  }

  /** Returns the sum of this capacity and another. */
  public Capacity plus(Capacity other) {
    return new Capacity(
        accelerators + other.accelerators,
        cores + other.cores,
        memoryMegabytes + other.memoryMegabytes);
  }

  /**
   * Returns the difference of this capacity and another.
   *
   * @throws IllegalArgumentException if a component would be negative
   */
  public Capacity minus(Capacity other) {
    return new Capacity(
        accelerators - other.accelerators,
        cores - other.cores,
        memoryMegabytes - other.memoryMegabytes);
  }

  /** Returns this capacity multiplied by {@code count}. */
  public Capacity times(int count) {
    return new Capacity(accelerators * count, cores * count, memoryMegabytes * count);
  }

  /** Tells whether {@code other} is at most this capacity in every component. */
  public boolean contains(Capacity other) {
    return accelerators >= other.accelerators
        && cores >= other.cores
        && memoryMegabytes >= other.memoryMegabytes;
  }

  /** Returns how many instances of {@code unit} fit into this capacity at the same time. */
  public int fits(Capacity unit) {
    long most = Integer.MAX_VALUE;
    if (unit.accelerators > 0) {
      most = Math.min(most, accelerators / unit.accelerators);
    }
    if (unit.cores > 0) {
      most = Math.min(most, cores / unit.cores);
    }
    if (unit.memoryMegabytes > 0) {
      most = Math.min(most, memoryMegabytes / unit.memoryMegabytes);
    }
    return (int) most;
  }
}
