package org.fescuehook.logic.scheduling;

import java.util.Arrays;
import org.fescuehook.model.fleet.Capacity;

/** Amounts of resources by worker, which a plan takes from and gives back to. May be negative. */
final class WorkerCapacities {

  private final int[] accelerators;
  private final int[] cores;
  private final long[] memoryMegabytes;

  private WorkerCapacities(int[] accelerators, int[] cores, long[] memoryMegabytes) {
    this.accelerators = accelerators;
    this.cores = cores;
    this.memoryMegabytes = memoryMegabytes;
  }

  /** Nothing on each of so many workers. */
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

  void take(int worker, Capacity amount) {
    accelerators[worker] -= amount.accelerators();
    cores[worker] -= amount.cores();
    memoryMegabytes[worker] -= amount.memoryMegabytes();
  }

  void give(int worker, Capacity amount) {
    accelerators[worker] += amount.accelerators();
    cores[worker] += amount.cores();
    memoryMegabytes[worker] += amount.memoryMegabytes();
  }

  /** Takes an amount on the worker of each member; skips members with a negative worker. */
  void take(int[] members, Capacity amount) {
    for (int worker : members) {
      if (worker >= 0) {
        take(worker, amount);
      }
    }
  }

  /** Gives an amount to the worker of each member; skips members with a negative worker. */
  void give(int[] members, Capacity amount) {
    for (int worker : members) {
      if (worker >= 0) {
        give(worker, amount);
      }
    }
  }

  /** Takes the amounts of another room. */
  void takeAll(WorkerCapacities other) {
    for (int w = 0; w < accelerators.length; w++) {
      accelerators[w] -= other.accelerators[w];
      cores[w] -= other.cores[w];
      memoryMegabytes[w] -= other.memoryMegabytes[w];
    }
  }

  /** Removes whatever there is on a worker. */
  void clear(int worker) {
    accelerators[worker] = 0;
    cores[worker] = 0;
    memoryMegabytes[worker] = 0;
  }

  /** Lowers each amount to that of another room, where that is less. */
  void lowerTo(WorkerCapacities other) {
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

  /** Returns how many units fit on a worker at once, at most {@code most}. */
  int fits(int worker, Capacity unit, int most) {
    if (!contains(worker, unit)) {
      return 0;
    }
    if (most == 1) {
      return 1;
    }
    long count = most;
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
