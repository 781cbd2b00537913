package org.fescuehook.bench.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Draws owners that lose their power twice, or VMs that are restarted in series, and nothing in a
 * long calm stretch after that but, in some runs, a store that goes away in its last second.
 */
final class CalmAfterOwnersPlan {

  /** Time at the beginning in which an owner is found and jobs come to run. */
  private static final long BEGIN_MILLIS = 3000;

  /** Time in which jobs are handed in while nothing is disturbed. */
  private static final long CALM_MILLIS = 35_000;

  /** Shorter runs have a shorter calm stretch instead. */
  private static final long SHORTEST_FAULTS_MILLIS = 7000;

  /** The last fault begins so long before the calm stretch, so that VMs are back by then. */
  private static final long RETURN_MILLIS = 6000;

  private static final long SHORTEST_DOWN_MILLIS = 1500;
  private static final long LONGEST_DOWN_MILLIS = 6000;

  /** Least time from an owner's power loss to the next one: a successor has to be found. */
  private static final long LEAST_OWNER_GAP_MILLIS = 5000;

  /** More processes that start at a time would keep a machine from anything else. */
  private static final int MOST_RESTARTED_VMS = 10;

  private static final int MOST_RESTARTS = 4;
  private static final long MIN_RESTART_GAP_MILLIS = 2000;
  private static final long MAX_RESTART_GAP_MILLIS = 5000;
  private static final long SHORTEST_RESTART_MILLIS = 100;
  private static final long LONGEST_RESTART_MILLIS = 1500;
  private static final long STORE_AWAY_MILLIS = 1000;
  private static final long SEED = 0x63616c6dL;

  private final SplittableRandom random;
  private final SoakSizes sizes;
  private final long length;

  /** When the last fault before the calm stretch begins at the latest. */
  private final long latest;

  private final List<Fault.Timed> plan = new ArrayList<>();

  private CalmAfterOwnersPlan(SoakSizes sizes) {
    this.random = new SplittableRandom(sizes.seed() ^ SEED);
    this.sizes = sizes;
    this.length = sizes.faultTime().toMillis();
    this.latest = Math.max(SHORTEST_FAULTS_MILLIS, length - CALM_MILLIS - RETURN_MILLIS);
  }

  /** Returns the faults in the order of their times. */
  static List<Fault.Timed> draw(SoakSizes sizes) {
    CalmAfterOwnersPlan drawn = new CalmAfterOwnersPlan(sizes);
    if (drawn.random.nextBoolean()) {
      drawn.addPowerLosses();
    } else {
      drawn.addRestarts();
    }
    drawn.addEnd();
    drawn.plan.sort(Comparator.comparingLong(Fault.Timed::atMillis));
    return List.copyOf(drawn.plan);
  }

  private void addPowerLosses() {
    long last = Math.max(latest, BEGIN_MILLIS + LEAST_OWNER_GAP_MILLIS);
    long first = between(BEGIN_MILLIS, last - LEAST_OWNER_GAP_MILLIS);
    add(first, new Fault.PowerOffOwner(between(SHORTEST_DOWN_MILLIS, LONGEST_DOWN_MILLIS)));
    long second = between(first + LEAST_OWNER_GAP_MILLIS, last);
    add(second, new Fault.PowerOffOwner(between(SHORTEST_DOWN_MILLIS, LONGEST_DOWN_MILLIS)));
  }

  private void addRestarts() {
    List<Integer> vms =
        IntStream.range(0, sizes.vms()).boxed().collect(Collectors.toCollection(ArrayList::new));
    Collections.shuffle(vms, random);
    for (int vm : vms.subList(0, Math.min(vms.size(), MOST_RESTARTED_VMS))) {
      int restarts = 1 + random.nextInt(MOST_RESTARTS);
      long at = between(BEGIN_MILLIS, latest);
      for (int i = 0; i < restarts && at <= latest; i++) {
        add(at, restart(vm));
        at += between(MIN_RESTART_GAP_MILLIS, MAX_RESTART_GAP_MILLIS);
      }
    }
  }

  private Fault restart(int vm) {
    return random.nextBoolean()
        ? new Fault.StopVm(vm)
        : new Fault.KillVms(Set.of(vm), between(SHORTEST_RESTART_MILLIS, LONGEST_RESTART_MILLIS));
  }

  /** A run lasts until its last fault is over; a new configuration disturbs nothing. */
  private void addEnd() {
    switch (random.nextInt(4)) {
      case 0 -> add(length - STORE_AWAY_MILLIS, new Fault.SilentStore(STORE_AWAY_MILLIS));
      case 1 -> add(length - STORE_AWAY_MILLIS, new Fault.RefusingStore(STORE_AWAY_MILLIS));
      default -> add(length - 1, new Fault.NewConfiguration());
    }
  }

  private void add(long at, Fault fault) {
    plan.add(new Fault.Timed(at, fault));
  }

  private long between(long least, long most) {
    return random.nextLong(least, most + 1);
  }
}
