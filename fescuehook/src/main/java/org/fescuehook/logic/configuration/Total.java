package org.fescuehook.logic.configuration;

import org.fescuehook.logic.ini.Sizes;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.organisation.GuaranteedShape;

/**
 * Total resources of workers or guarantees, counted in {@code long} so that the sum over all
 * declared items cannot overflow.
 *
 * @param accelerators number of accelerators
 * @param cores number of processor cores
 * @param memoryMegabytes memory in units of 2^20 bytes
 */
record Total(long accelerators, long cores, long memoryMegabytes) {

  static final Total NONE = new Total(0, 0, 0);

  static Total ofWorkers(Iterable<Worker> workers) {
    Total total = NONE;
    for (Worker worker : workers) {
      total = total.plus(worker.capacity(), 1);
    }
    return total;
  }

  static Total ofGuarantees(Iterable<GuaranteedShape> guarantees) {
    Total total = NONE;
    for (GuaranteedShape guarantee : guarantees) {
      total = total.plus(guarantee);
    }
    return total;
  }

  Total plus(GuaranteedShape guarantee) {
    long times = (long) guarantee.shape().members() * guarantee.count();
    return plus(guarantee.shape().perMember(), times);
  }

  boolean contains(Total other) {
    return accelerators >= other.accelerators
        && cores >= other.cores
        && memoryMegabytes >= other.memoryMegabytes;
  }

  /** Describes the amounts in text for operators. */
  String describe() {
    return "%d accelerators, %d cores and %s"
        .formatted(accelerators, cores, Sizes.formatMebibytes(memoryMegabytes));
  }

  private Total plus(Capacity capacity, long times) {
    return new Total(
        accelerators + capacity.accelerators() * times,
        cores + capacity.cores() * times,
        memoryMegabytes + capacity.memoryMegabytes() * times);
  }
}
