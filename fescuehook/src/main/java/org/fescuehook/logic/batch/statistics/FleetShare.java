package org.fescuehook.logic.batch.statistics;

/**
 * Amounts of resources as shares of the whole fleet, 0 to 1 each.
 *
 * @param cores share of the cores
 * @param memory share of the memory
 * @param accelerators share of the accelerators
 */
record FleetShare(double cores, double memory, double accelerators) {

  static final FleetShare NONE = new FleetShare(0, 0, 0);

  /** Returns the share of the fleet that some amounts are; a resource that it lacks counts 0. */
  static FleetShare of(
      long milliCores, long memoryMegabytes, long accelerators, ResourceVectorSum fleet) {
    return new FleetShare(
        share(milliCores, fleet.milliCores()),
        share(memoryMegabytes, fleet.memoryMegabytes()),
        share(accelerators, fleet.accelerators()));
  }

  private static double share(long amount, long total) {
    return total <= 0 ? 0 : (double) amount / total;
  }

  /** Returns the mean of this and the other, in which the other has the given weight, 0 to 1. */
  FleetShare towards(FleetShare other, double weight) {
    return new FleetShare(
        cores + weight * (other.cores - cores),
        memory + weight * (other.memory - memory),
        accelerators + weight * (other.accelerators - accelerators));
  }

  /** Returns the share of the dominant resource, the one with the largest share. */
  double dominant() {
    return Math.max(cores, Math.max(memory, accelerators));
  }
}
