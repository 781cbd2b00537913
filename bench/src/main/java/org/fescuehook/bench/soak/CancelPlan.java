package org.fescuehook.bench.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Draws faults around waves of cancels: executors that lose orders, then VMs that are restarted in
 * series. Between the waves is a quiet time in which the runs of the cancelled jobs have to end.
 */
final class CancelPlan {

  /** Time in which jobs come to run before the first wave. */
  private static final long CALM_MILLIS = 3000;

  /** A wave with its faults, and the quiet time after them. */
  private static final int EPISODE_MILLIS = 14_000;

  /** In this time the faults of a wave begin. */
  private static final int FAULTS_MILLIS = 5000;

  private static final int MOST_RESTARTS = 4;

  private static final int FIRST_RESTART_MILLIS = 300;
  private static final int RESTART_GAP_MILLIS = 1500;
  private static final int LEAST_LOST_PERMILLE = 300;
  private static final int ALL_PERMILLE = 1000;
  private static final int KINDS = 4;

  private final Random random;
  private final SoakSizes sizes;
  private final List<Fault.Timed> plan = new ArrayList<>();

  private CancelPlan(SoakSizes sizes) {
    this.random = new Random(sizes.seed());
    this.sizes = sizes;
  }

  /** Returns the faults in the order of their times. */
  static List<Fault.Timed> draw(SoakSizes sizes) {
    CancelPlan drawn = new CancelPlan(sizes);
    long length = sizes.faultTime().toMillis();
    for (long at = CALM_MILLIS; at + FAULTS_MILLIS <= length; at += EPISODE_MILLIS) {
      drawn.addWave(at);
    }
    drawn.plan.sort(Comparator.comparingLong(Fault.Timed::atMillis));
    return List.copyOf(drawn.plan);
  }

  private void addWave(long at) {
    add(at, new Fault.CancelAll());
    if (random.nextInt(KINDS) > 0) {
      loseOrders(at);
    }
    List<Integer> vms = shuffled(0, sizes.vms());
    long restart = at + random.nextInt(FIRST_RESTART_MILLIS);
    for (int vm : vms.subList(0, random.nextInt(Math.min(vms.size(), MOST_RESTARTS) + 1))) {
      add(restart, restart(vm));
      restart += random.nextInt(RESTART_GAP_MILLIS);
    }
  }

  private void loseOrders(long at) {
    List<Integer> executors = shuffled(1, sizes.executors() + 1);
    boolean late = random.nextBoolean();
    for (int executor : executors.subList(0, 1 + random.nextInt(executors.size()))) {
      int permille = random.nextInt(LEAST_LOST_PERMILLE, ALL_PERMILLE + 1);
      long from = at - random.nextInt(1500);
      add(from, new Fault.LoseOrders(executor, permille, late, random.nextLong(500, 5000)));
    }
  }

  private Fault restart(int vm) {
    return switch (random.nextInt(KINDS)) {
      case 0 -> new Fault.StopVm(vm);
      case 1 -> new Fault.PauseVm(vm, random.nextLong(500, 4500));
      default -> new Fault.KillVms(Set.of(vm), random.nextLong(100, 800));
    };
  }

  private List<Integer> shuffled(int from, int to) {
    List<Integer> numbers =
        IntStream.range(from, to).boxed().collect(Collectors.toCollection(ArrayList::new));
    Collections.shuffle(numbers, random);
    return numbers;
  }

  private void add(long at, Fault fault) {
    plan.add(new Fault.Timed(at, fault));
  }
}
