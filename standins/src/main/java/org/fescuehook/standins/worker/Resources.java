package org.fescuehook.standins.worker;

/** Amounts of accelerators, cores and memory; the memory is in MiB. */
public record Resources(int accelerators, int cores, long memoryMegabytes) {

  boolean covers(Resources other) {
    return accelerators >= other.accelerators
        && cores >= other.cores
        && memoryMegabytes >= other.memoryMegabytes;
  }

  /** Adds other resources, or subtracts them if the sign is -1. */
  Resources plus(Resources other, int sign) {
    return new Resources(
        accelerators + sign * other.accelerators,
        cores + sign * other.cores,
        memoryMegabytes + sign * other.memoryMegabytes);
  }
}
