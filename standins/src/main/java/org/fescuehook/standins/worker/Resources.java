package org.fescuehook.standins.worker;

/** Accelerators, cores and memory in MiB. */
public record Resources(int accelerators, int cores, long memoryMegabytes) {

  boolean covers(Resources r) {
    return accelerators >= r.accelerators
        && cores >= r.cores
        && memoryMegabytes >= r.memoryMegabytes;
  }

  Resources plus(Resources r, int sign) {
    return new Resources(
        accelerators + sign * r.accelerators,
        cores + sign * r.cores,
        memoryMegabytes + sign * r.memoryMegabytes);
  }
}
