package org.fescuehook.bench.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Draws cuts between some VMs and some executors. Cuts do not overlap, and one VM or more reaches
 * all executors through the whole of a cut.
 */
final class PartialPartitionPlan {

  /** Time at the beginning in which an owner is found and jobs come to run. */
  private static final long CALM_MILLIS = 4000;

  private static final long SHORTEST_MILLIS = 12_000;
  private static final long LONGEST_MILLIS = 20_000;
  private static final long MIN_GAP_MILLIS = 2000;
  private static final long MAX_GAP_MILLIS = 6000;

  /** Least time that a cut needs to be judged. */
  private static final long LEAST_MILLIS = 10_000;

  /** A cut among other faults. */
  private static final long SHORTEST_BESIDE_MILLIS = 2000;

  private static final int MAX_BESIDE = 2;

  /** Runs that are shorter have no last cut, which lasts longer than they do. */
  private static final long SHORTEST_WITH_LAST_MILLIS = 25_000;

  /** Begins after the other faults; an owner is found in its first 14 s. */
  private static final long SHORTEST_LAST_MILLIS = 24_000;

  private static final long LONGEST_LAST_MILLIS = 34_000;

  private static final int TOTAL_PERCENT = 100;
  private static final int MIN_LOSS_PERCENT = 40;
  private static final int MAX_LOSS_PERCENT = 80;

  /** A cut affects a third to a half of the executors. */
  private static final int MIN_EXECUTORS_DIVISOR = 3;

  private static final int MAX_EXECUTORS_DIVISOR = 2;

  /** One in this many cuts affects only half of the VMs, so that the owner may not be affected. */
  private static final int HALF_CUT_STEP = 4;

  private static final long SEED = 0x7061727469616cL;

  private final SplittableRandom random;
  private final SoakSizes sizes;
  private final long length;

  private PartialPartitionPlan(SoakSizes sizes) {
    this.random = new SplittableRandom(sizes.seed() ^ SEED);
    this.sizes = sizes;
    this.length = sizes.faultTime().toMillis();
  }

  /** Returns long cuts one after another, and nothing else. */
  static List<Fault.Timed> draw(SoakSizes sizes) {
    PartialPartitionPlan drawn = new PartialPartitionPlan(sizes);
    List<Fault.Timed> plan = new ArrayList<>();
    long at = CALM_MILLIS;
    while (plan.isEmpty() || at + LEAST_MILLIS < drawn.length) {
      long lasting = drawn.between(SHORTEST_MILLIS, LONGEST_MILLIS);
      plan.add(new Fault.Timed(at, drawn.cut(lasting)));
      at += lasting + drawn.between(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }
    return List.copyOf(plan);
  }

  /**
   * Returns cuts for half of the runs with other faults, and none for the others.
   *
   * @param lateOrdersLast whether the run ends with late orders, beside which no cut could be
   *     judged
   */
  static List<Fault.Timed> drawBesideFaults(SoakSizes sizes, boolean lateOrdersLast) {
    PartialPartitionPlan drawn = new PartialPartitionPlan(sizes);
    return drawn.random.nextBoolean() ? drawn.beside(lateOrdersLast) : List.of();
  }

  private List<Fault.Timed> beside(boolean lateOrdersLast) {
    List<Fault.Timed> plan = new ArrayList<>();
    int count = 1 + random.nextInt(MAX_BESIDE);
    long at = between(CALM_MILLIS, length / 2);
    for (int i = 0; i < count && at < length - 1; i++) {
      long lasting = Math.min(length - 1 - at, between(SHORTEST_BESIDE_MILLIS, LONGEST_MILLIS));
      plan.add(new Fault.Timed(at, cut(lasting)));
      at += lasting + between(MIN_GAP_MILLIS, MAX_GAP_MILLIS);
    }
    long last = between(SHORTEST_LAST_MILLIS, LONGEST_LAST_MILLIS);
    if (!lateOrdersLast && length >= SHORTEST_WITH_LAST_MILLIS) {
      plan.add(new Fault.Timed(length - 1, cut(last)));
    }
    return List.copyOf(plan);
  }

  private Fault cut(long lasting) {
    int most = sizes.vms() - 1;
    int vms = random.nextInt(HALF_CUT_STEP) > 0 ? most : Math.max(1, most / 2);
    int least = Math.max(1, sizes.executors() / MIN_EXECUTORS_DIVISOR);
    int executors = between(least, Math.max(least, sizes.executors() / MAX_EXECUTORS_DIVISOR));
    int loss = random.nextBoolean() ? TOTAL_PERCENT : between(MIN_LOSS_PERCENT, MAX_LOSS_PERCENT);
    return new Fault.CutExecutors(
        some(0, sizes.vms(), vms), some(1, sizes.executors() + 1, executors), loss, lasting);
  }

  /** Draws some numbers of a range. */
  private List<Integer> some(int from, int to, int count) {
    List<Integer> numbers =
        IntStream.range(from, to).boxed().collect(Collectors.toCollection(ArrayList::new));
    Collections.shuffle(numbers, random);
    return numbers.stream().limit(count).sorted().toList();
  }

  private int between(int least, int most) {
    return random.nextInt(least, most + 1);
  }

  private long between(long least, long most) {
    return random.nextLong(least, most + 1);
  }
}
