package org.fescuehook.logic.scheduling;

import java.util.Arrays;
import org.fescuehook.model.fleet.Capacity;

/**
 * Amounts of resources on each worker, such as the free capacity of the fleet. A plan subtracts
 * what it uses and adds what it frees; amounts may become negative.
 */
final class WorkerCapacities {

  private final int[] accelerators;
  private final int[] cores;
  private final long[] memoryMegabytes;

  private WorkerCapacities(int[] accelerators, int[] cores, long[] memoryMegabytes) {
    this.accelerators = accelerators;
    this.cores = cores;
    this.memoryMegabytes = memoryMegabytes;
  }

  /** Returns zero amounts for the given number of workers. */
  static WorkerCapacities empty(int workers) {
    return new WorkerCapacities(new int[workers], new int[workers], new long[workers]);
  }

  WorkerCapacities copy() {
    return new WorkerCapacities(
        accelerators.clone(),
        cores.clone(),
        Arrays.copyOf(memoryMegabytes, memoryMegabytes.length));
  }

  int accelerators(int worker) {
    return accelerators[worker];
  }

  int cores(int worker) {
    return cores[worker];
  }

  void subtract(int worker, Capacity amount) {
    accelerators[worker] -= amount.accelerators();
    cores[worker] -= amount.cores();
    memoryMegabytes[worker] -= amount.memoryMegabytes();
  }

  void add(int worker, Capacity amount) {
    accelerators[worker] += amount.accelerators();
    cores[worker] += amount.cores();
    memoryMegabytes[worker] += amount.memoryMegabytes();
  }

  /**
   * Subtracts an amount on the worker of each member; skips members with a negative worker number.
   */
  void subtract(int[] members, Capacity amount) {
    for (int worker : members) {
      if (worker >= 0) {
        subtract(worker, amount);
      }
    }
  }

  /** Adds an amount on the worker of each member; skips members with a negative worker number. */
  void add(int[] members, Capacity amount) {
    for (int worker : members) {
      if (worker >= 0) {
        add(worker, amount);
      }
    }
  }

  /** Subtracts the amounts of another instance. */
  void subtractAll(WorkerCapacities other) {
    for (int w = 0; w < accelerators.length; w++) {
      accelerators[w] -= other.accelerators[w];
      cores[w] -= other.cores[w];
      memoryMegabytes[w] -= other.memoryMegabytes[w];
    }
  }

  /** Sets the amounts on a worker to zero. */
  void clear(int worker) {
    accelerators[worker] = 0;
    cores[worker] = 0;
    memoryMegabytes[worker] = 0;
  }

  /** Limits each amount to the corresponding amount of another instance. */
  void limitTo(WorkerCapacities other) {
    for (int w = 0; w < accelerators.length; w++) {
      accelerators[w] = Math.min(accelerators[w], other.accelerators[w]);
      cores[w] = Math.min(cores[w], other.cores[w]);
      memoryMegabytes[w] = Math.min(memoryMegabytes[w], other.memoryMegabytes[w]);
    }
  }

  boolean contains(int worker, Capacity amount) {
    return accelerators[worker] >= amount.accelerators()
        && cores[worker] >= amount.cores()
        && memoryMegabytes[worker] >= amount.memoryMegabytes();
  }

  /** Returns how many units fit on a worker, at most {@code limit}. */
  int fits(int worker, Capacity unit, int limit) {
    if (!contains(worker, unit)) {
      return 0;
    }
    if (limit == 1) {
      return 1;
    }
    long count = limit;
    if (unit.accelerators() > 0) {
      count = Math.min(count, accelerators[worker] / unit.accelerators());
    }
    if (unit.cores() > 0) {
      count = Math.min(count, cores[worker] / unit.cores());
    }
    if (unit.memoryMegabytes() > 0) {
      count = Math.min(count, memoryMegabytes[worker] / unit.memoryMegabytes());
    }
    return (int) count;
  }
}
