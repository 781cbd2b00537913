package org.fescuehook.logic.batch.statistics;

import org.fescuehook.model.batch.ResourceVector;

/** Sum of amounts of resources; the memory of a large fleet exceeds the range of an int. */
final class ResourceVectorSum {

  private long milliCores;
  private long memoryMegabytes;
  private long accelerators;

  void add(ResourceVector amounts) {
    milliCores += amounts.milliCores();
    memoryMegabytes += amounts.memoryMegabytes();
    accelerators += amounts.accelerators();
  }

  long milliCores() {
    return milliCores;
  }

  long memoryMegabytes() {
    return memoryMegabytes;
  }

  long accelerators() {
    return accelerators;
  }

  /** Returns these amounts as shares of those of the fleet. */
  FleetShare shareOf(ResourceVectorSum fleet) {
    return FleetShare.of(milliCores, memoryMegabytes, accelerators, fleet);
  }
}
