package org.fescuehook.logic.scheduling;

import java.util.Arrays;
import java.util.Optional;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.job.Shape;

/**
 * Places all members of a gang in a room, or none. Not for use by two threads: its arrays are used
 * again for each placement.
 */
final class GangPlacer {

  private final FleetIndex index;
  private final int[] fit;
  private final int[] rackFit;
  private final long[] keys;

  GangPlacer(FleetIndex index) {
    this.index = index;
    this.fit = new int[index.workerCount()];
    this.rackFit = new int[index.rackCount()];
    this.keys = new long[Math.max(index.workerCount(), index.rackCount())];
  }

  /** Order of preference among workers and racks. */
  interface Preference {

    /** Returns the cost of a worker, 0 to 2^31 - 1; the least is filled first. */
    int ofWorker(int worker);

    /**
     * Returns the cost of a rack, 0 to 2^31 - 1; the least is taken first.
     *
     * @param members how many members of the gang fit there
     */
    int ofRack(int rack, int members);
  }

  /** Takes workers in the order of the declaration, and the rack that fits most tightly. */
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
   * Returns the worker of each member.
   *
   * @param room where members may stand
   * @param avoid workers that are left out, by number
   */
  Optional<int[]> place(Shape shape, WorkerCapacities room, boolean[] avoid, Preference preference) {
    if (!count(shape, room, avoid)) {
      return Optional.empty();
    }
    if (isAnywhere(shape)) {
      int[] members = new int[shape.members()];
      fill(members, 0, sortedWorkers(preference));
      return Optional.of(members);
    }
    long[] racks = racks(shape, preference);
    return racks.length == 0 ? Optional.empty() : Optional.of(fill(shape, racks, preference));
  }

  /** Tells whether racks do not matter to a shape. */
  private static boolean isAnywhere(Shape shape) {
    return shape.maxRacks() == 0 || shape.members() == 1;
  }

  /** Tells whether the shape fits in the room. */
  boolean fits(Shape shape, WorkerCapacities room, boolean[] avoid) {
    if (!count(shape, room, avoid)) {
      return false;
    }
    return isAnywhere(shape) || mostInRacks(shape.maxRacks()) >= shape.members();
  }

  private boolean count(Shape shape, WorkerCapacities room, boolean[] avoid) {
    Capacity unit = shape.perMember();
    int most = shape.members();
    Arrays.fill(rackFit, 0);
    int sum = 0;
    for (int w = 0; w < fit.length; w++) {
      fit[w] = avoid[w] ? 0 : room.fits(w, unit, most);
      rackFit[index.rackOf(w)] += fit[w];
      sum += fit[w];
    }
    return sum >= most;
  }

  private int mostInRacks(int maxRacks) {
    if (maxRacks == 1) {
      int most = 0;
      for (int sum : rackFit) {
        most = Math.max(most, sum);
      }
      return most;
    }
    int[] sorted = rackFit.clone();
    Arrays.sort(sorted);
    int most = 0;
    for (int i = 0; i < Math.min(maxRacks, sorted.length); i++) {
      most += sorted[sorted.length - 1 - i];
    }
    return most;
  }

  /** Returns the racks to be filled, the first first; empty if the shape does not fit. */
  private long[] racks(Shape shape, Preference preference) {
    long[] single = sortedRacks(preference, shape.members());
    if (single.length > 0) {
      return new long[] {single[0]};
    }
    return fewRacks(shape, preference);
  }

  /** Returns the racks in which at least so many members fit, by preference. */
  private long[] sortedRacks(Preference preference, int leastMembers) {
    int count = 0;
    for (int r = 0; r < rackFit.length; r++) {
      if (rackFit[r] >= leastMembers) {
        keys[count++] = ((long) preference.ofRack(r, rackFit[r]) << 32) | r;
      }
    }
    return sortedKeys(count);
  }

  /** Takes the racks that hold most, and for the last one the preferred of those that suffice. */
  private long[] fewRacks(Shape shape, Preference preference) {
    long[] chosen = new long[shape.maxRacks()];
    int missing = shape.members();
    for (int i = 0; i < chosen.length; i++) {
      long[] enough = sortedRacks(preference, missing);
      if (enough.length > 0) {
        chosen[i] = enough[0];
        return Arrays.copyOf(chosen, i + 1);
      }
      int largest = largestRack();
      missing -= rackFit[largest];
      chosen[i] = largest;
      rackFit[largest] = 0;
    }
    return new long[0];
  }

  private int largestRack() {
    int largest = 0;
    for (int r = 1; r < rackFit.length; r++) {
      if (rackFit[r] > rackFit[largest]) {
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

  /** Fills workers in the given order and returns the number of members that have one. */
  private int fill(int[] members, int from, long[] workers) {
    int next = from;
    for (long key : workers) {
      int w = (int) key;
      for (int i = 0; i < fit[w]; i++) {
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
    for (int w = 0; w < fit.length; w++) {
      count = addKey(w, count, preference);
    }
    return sortedKeys(count);
  }

  private int addKey(int worker, int count, Preference preference) {
    if (fit[worker] == 0) {
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
