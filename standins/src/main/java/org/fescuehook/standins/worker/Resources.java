package org.fescuehook.standins.worker;

/**
 * Accelerators, cores and memory.
 *
 * @param memoryMegabytes memory in MiB
 */
public record Resources(int accelerators, int cores, long memoryMegabytes) {

  Resources minus(Resources other) {
    return new Resources(
        accelerators - other.accelerators,
        cores - other.cores,
        memoryMegabytes - other.memoryMegabytes);
  }

  Resources plus(Resources other) {
    return new Resources(
        accelerators + other.accelerators,
        cores + other.cores,
        memoryMegabytes + other.memoryMegabytes);
  }

  boolean fits(Resources other) {
    return accelerators >= other.accelerators
        && cores >= other.cores
        && memoryMegabytes >= other.memoryMegabytes;
  }
}
