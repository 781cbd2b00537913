package org.fescuehook.bench.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehook.standins.platform.FleetStandIn;

/**
 * Draws executors that fail all runs for some seconds, in half of the runs beside a lost or
 * restarted owner or a store that is away, and nothing in a long calm stretch after that but, in
 * some runs, a store that goes away in its last second.
 */
final class CalmAfterFailuresPlan {

  /** Time at the beginning in which an owner is found and jobs come to run. */
  private static final long BEGIN_MILLIS = 3000;

  /** Time at the end in which nothing is disturbed. */
  private static final long CALM_MILLIS = 20_000;

  private static final long SHORTEST_FAILURE_MILLIS = 2000;

  /** Longest time for which the users have seen executors fail what they start. */
  private static final long LONGEST_FAILURE_MILLIS = 6500;

  /** Evidence that is older when the calm stretch begins no longer keeps jobs waiting in it. */
  private static final long LONGEST_LAST_FAILURE_MILLIS = 3500;

  private static final int MOST_FAILURES = 3;

  /** Longest time for which no executor fails between two failures. */
  private static final long LONGEST_GAP_MILLIS = 1500;

  /** Part of the failures that are those of all executors of a rack. */
  private static final double WHOLE_RACK = 0.4;

  private static final double LEAST_FAILING = 0.3;
  private static final double MOST_FAILING = 0.7;
  private static final long SHORTEST_DOWN_MILLIS = 1500;
  private static final long LONGEST_DOWN_MILLIS = 6000;
  private static final long SHORTEST_AWAY_MILLIS = 1000;
  private static final long LONGEST_AWAY_MILLIS = 5000;
  private static final long STORE_AWAY_MILLIS = 1000;
  private static final long SEED = 0x6661696c63616cL;

  private final SplittableRandom random;
  private final SoakSizes sizes;
  private final long length;
  private final List<Fault.Timed> plan = new ArrayList<>();

  /**
   * When executors fail all runs; times since the beginning of the faults.
   *
   * @param beginsMillis when executors begin to fail, in any order
   * @param toMillis when all executors are sound for good
   */
  record Failures(List<Long> beginsMillis, long toMillis) {
    /** Copies the list. */
    Failures {
      beginsMillis = List.copyOf(beginsMillis);
    }

    long fromMillis() {
      return Collections.min(beginsMillis);
    }
  }

  private CalmAfterFailuresPlan(SoakSizes sizes) {
    this.random = new SplittableRandom(sizes.seed() ^ SEED);
    this.sizes = sizes;
    this.length = sizes.faultTime().toMillis();
  }

  /** Returns the faults in the order of their times. */
  static List<Fault.Timed> draw(SoakSizes sizes) {
    CalmAfterFailuresPlan drawn = new CalmAfterFailuresPlan(sizes);
    Failures failures = drawn.addFailures();
    if (drawn.random.nextBoolean()) {
      drawn.addBeside(failures);
    }
    drawn.addEnd();
    drawn.plan.sort(Comparator.comparingLong(Fault.Timed::atMillis));
    return List.copyOf(drawn.plan);
  }

  /** Returns when executors fail all runs in the plan of the same sizes. */
  static Failures failures(SoakSizes sizes) {
    return new CalmAfterFailuresPlan(sizes).addFailures();
  }

  /** The last failure ends where the calm stretch begins; those before it may overlap. */
  private Failures addFailures() {
    long end = Math.max(BEGIN_MILLIS + LONGEST_FAILURE_MILLIS, length - CALM_MILLIS);
    int count = 1 + random.nextInt(MOST_FAILURES);
    List<Long> begins = new ArrayList<>();
    long to = end;
    for (int i = 0; i < count && to >= BEGIN_MILLIS + SHORTEST_FAILURE_MILLIS; i++) {
      long longest = i == 0 ? LONGEST_LAST_FAILURE_MILLIS : LONGEST_FAILURE_MILLIS;
      long lasting = between(SHORTEST_FAILURE_MILLIS, longest);
      long from = Math.max(BEGIN_MILLIS, to - lasting);
      add(from, new Fault.FailRuns(failingExecutors(), to - from));
      begins.add(from);
      to = from + between(-LONGEST_GAP_MILLIS, (to - from) / 2);
    }
    return new Failures(begins, end);
  }

  private List<Integer> failingExecutors() {
    List<Integer> all =
        IntStream.rangeClosed(1, sizes.executors())
            .boxed()
            .collect(Collectors.toCollection(ArrayList::new));
    if (random.nextDouble() < WHOLE_RACK) {
      int drawn = 1 + random.nextInt(sizes.executors());
      String rack = FleetStandIn.labelsOfExecutor(drawn).getLast();
      all.removeIf(executor -> !FleetStandIn.labelsOfExecutor(executor).contains(rack));
      return all;
    }
    Collections.shuffle(all, random);
    double share = random.nextDouble(LEAST_FAILING, MOST_FAILING);
    return all.subList(0, Math.max(1, (int) Math.round(sizes.executors() * share)));
  }

  private void addBeside(Failures failures) {
    long at = between(failures.fromMillis(), failures.toMillis() - SHORTEST_AWAY_MILLIS);
    long away =
        Math.min(failures.toMillis() - at, between(SHORTEST_AWAY_MILLIS, LONGEST_AWAY_MILLIS));
    Fault fault =
        switch (random.nextInt(4)) {
          case 0 -> new Fault.PowerOffOwner(between(SHORTEST_DOWN_MILLIS, LONGEST_DOWN_MILLIS));
          case 1 -> new Fault.RestartOwner();
          case 2 -> new Fault.SilentStore(away);
          default -> new Fault.RefusingStore(away);
        };
    add(at, fault);
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
