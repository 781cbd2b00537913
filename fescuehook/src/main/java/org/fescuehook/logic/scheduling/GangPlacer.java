package org.fescuehook.logic.scheduling;

import java.util.Arrays;
import java.util.Optional;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.job.Shape;

/**
 * Places all members of a gang on workers with enough capacity, or none. Not thread-safe, because
 * its arrays are reused for each placement.
 */
final class GangPlacer {

  private final FleetIndex index;
  private final int[] fitsOnWorker;
  private final int[] fitsInRack;
  private final long[] keys;

  GangPlacer(FleetIndex index) {
    this.index = index;
    this.fitsOnWorker = new int[index.workerCount()];
    this.fitsInRack = new int[index.rackCount()];
    this.keys = new long[Math.max(index.workerCount(), index.rackCount())];
  }

  /** Order in which workers and racks are used, as costs. */
  interface Preference {

    /** Returns the cost of a worker, 0 to 2^31 - 1; workers with lower costs are filled first. */
    int ofWorker(int worker);

    /**
     * Returns the cost of a rack, 0 to 2^31 - 1; racks with lower costs are used first.
     *
     * @param members number of members of the gang that fit in the rack
     */
    int ofRack(int rack, int members);
  }

  /**
   * Prefers workers in the order of their declaration, and the rack in which the fewest members
   * fit.
   */
  static final Preference FIRST_FIT =
      new Preference() {
        @Override
        public int ofWorker(int worker) {
          return 0;
        }

        @Override
        public int ofRack(int rack, int members) {
          return members;
        }
      };

  /**
   * Returns the worker of each member, or empty if the shape does not fit.
   *
   * @param capacities capacity that the members may use
   * @param avoid whether each worker, by number, must not be used
   */
  Optional<int[]> place(
      Shape shape, WorkerCapacities capacities, boolean[] avoid, Preference preference) {
    if (!countFits(shape, capacities, avoid)) {
      return Optional.empty();
    }
    if (allowsAnyRack(shape)) {
      int[] members = new int[shape.members()];
      fill(members, 0, sortedWorkers(preference));
      return Optional.of(members);
    }
    long[] racks = selectRacks(shape, preference);
    return racks.length == 0 ? Optional.empty() : Optional.of(fill(shape, racks, preference));
  }

  /** Returns whether the members of a shape may be placed on workers of any racks. */
  private static boolean allowsAnyRack(Shape shape) {
    return shape.maxRacks() == 0 || shape.members() == 1;
  }

  /** Returns whether the shape fits in the given capacity. */
  boolean fits(Shape shape, WorkerCapacities capacities, boolean[] avoid) {
    if (!countFits(shape, capacities, avoid)) {
      return false;
    }
    return allowsAnyRack(shape) || maxMembersInRacks(shape.maxRacks()) >= shape.members();
  }

  private boolean countFits(Shape shape, WorkerCapacities capacities, boolean[] avoid) {
    Capacity unit = shape.perMember();
    int members = shape.members();
    Arrays.fill(fitsInRack, 0);
    int sum = 0;
    for (int w = 0; w < fitsOnWorker.length; w++) {
      fitsOnWorker[w] = avoid[w] ? 0 : capacities.fits(w, unit, members);
      fitsInRack[index.rackOf(w)] += fitsOnWorker[w];
      sum += fitsOnWorker[w];
    }
    return sum >= members;
  }

  private int maxMembersInRacks(int maxRacks) {
    if (maxRacks == 1) {
      int maxMembers = 0;
      for (int sum : fitsInRack) {
        maxMembers = Math.max(maxMembers, sum);
      }
      return maxMembers;
    }
    int[] sorted = fitsInRack.clone();
    Arrays.sort(sorted);
    int maxMembers = 0;
    for (int i = 0; i < Math.min(maxRacks, sorted.length); i++) {
      maxMembers += sorted[sorted.length - 1 - i];
    }
    return maxMembers;
  }

  /** Returns the racks to fill, in this order; empty if the shape does not fit. */
  private long[] selectRacks(Shape shape, Preference preference) {
    long[] single = sortedRacks(preference, shape.members());
    if (single.length > 0) {
      return new long[] {single[0]};
    }
    return selectSeveralRacks(shape, preference);
  }

  /** Returns the racks in which at least {@code minMembers} members fit, cheapest first. */
  private long[] sortedRacks(Preference preference, int minMembers) {
    int count = 0;
    for (int r = 0; r < fitsInRack.length; r++) {
      if (fitsInRack[r] >= minMembers) {
        keys[count++] = ((long) preference.ofRack(r, fitsInRack[r]) << 32) | r;
      }
    }
    return sortedKeys(count);
  }

  /**
   * Returns the racks in which the most members fit; the last one is the cheapest rack in which all
   * remaining members fit.
   */
  private long[] selectSeveralRacks(Shape shape, Preference preference) {
    long[] chosen = new long[shape.maxRacks()];
    int remaining = shape.members();
    for (int i = 0; i < chosen.length; i++) {
      long[] sufficient = sortedRacks(preference, remaining);
      if (sufficient.length > 0) {
        chosen[i] = sufficient[0];
        return Arrays.copyOf(chosen, i + 1);
      }
      int largest = largestRack();
      remaining -= fitsInRack[largest];
      chosen[i] = largest;
      fitsInRack[largest] = 0;
    }
    return new long[0];
  }

  private int largestRack() {
    int largest = 0;
    for (int r = 1; r < fitsInRack.length; r++) {
      if (fitsInRack[r] > fitsInRack[largest]) {
        largest = r;
      }
    }
    return largest;
  }

  private int[] fill(Shape shape, long[] racks, Preference preference) {
    int[] members = new int[shape.members()];
    int next = 0;
    for (long key : racks) {
      next = fill(members, next, sortedWorkers((int) key, preference));
    }
    return members;
  }

  /** Assigns members to workers in the given order; returns how many members then have a worker. */
  private int fill(int[] members, int firstMember, long[] workers) {
    int next = firstMember;
    for (long key : workers) {
      int w = (int) key;
      for (int i = 0; i < fitsOnWorker[w]; i++) {
        if (next == members.length) {
          return next;
        }
        members[next++] = w;
      }
    }
    return next;
  }

  private long[] sortedWorkers(int rack, Preference preference) {
    int count = 0;
    for (int w : index.workersOfRack(rack)) {
      count = addKey(w, count, preference);
    }
    return sortedKeys(count);
  }

  private long[] sortedWorkers(Preference preference) {
    int count = 0;
    for (int w = 0; w < fitsOnWorker.length; w++) {
      count = addKey(w, count, preference);
    }
    return sortedKeys(count);
  }

  private int addKey(int worker, int count, Preference preference) {
    if (fitsOnWorker[worker] == 0) {
      return count;
    }
    keys[count] = ((long) preference.ofWorker(worker) << 32) | worker;
    return count + 1;
  }

  private long[] sortedKeys(int count) {
    long[] sorted = Arrays.copyOf(keys, count);
    Arrays.sort(sorted);
    return sorted;
  }
}
