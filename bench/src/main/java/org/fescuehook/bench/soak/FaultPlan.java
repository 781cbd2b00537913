package org.fescuehook.bench.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehook.standins.platform.FleetStandIn;

/** Draws the faults of a run; the same seed and sizes give the same faults. */
final class FaultPlan {

  /** Faults come in the mean once in this time, and so overlap often. */
  private static final long MEAN_GAP_MILLIS = 2500;

  /** Time without faults at the beginning, in which an owner is found. */
  private static final long CALM_MILLIS = 3000;

  /** The slowest answer of the store that the users have seen. */
  private static final int SLOWEST_ANSWER_MILLIS = 900;

  private static final int LEAST_SLOW_ANSWER_MILLIS = 20;
  private static final int MOST_LOST_PERMILLE = 500;
  private static final int KINDS = 9;

  /** A planned stop takes some 2.5 s. */
  private static final long STOP_MILLIS = 4000;

  /** A return of all VMs in a slow store needs this much time to be judged. */
  private static final long RETURN_MILLIS = 36_000;

  /** Time between two waves of a series of crashes. */
  private static final long SERIES_GAP_MILLIS = 2000;

  private static final int MAX_WAVES = 5;

  /** One in this many executors crashes with each wave. */
  private static final int EXECUTORS_PER_CRASH = 3;

  private static final int MAX_EVACUATIONS = 6;
  private static final int MAX_MAINTENANCE_WAVES = 3;
  private static final long MAINTENANCE_SEED = 0x6d61696e74656e61L;
  private static final long LONGEST_EVACUATION_MILLIS = 20_000;
  private static final int MAX_FAILURES = 4;
  private static final long FAILURE_SEED = 0x6661696c757265L;

  /** Longest time for which the users have seen executors fail what they start. */
  private static final int LONGEST_FAILURE_MILLIS = 6500;

  private static final long CUT_SEED = 0x63757473L;
  private static final long ODD_ENTRIES_SEED = 0x6f6464L;
  private static final int MAX_ODD_ENTRIES = 3;
  private static final long MIN_ODD_GAP_MILLIS = 1000;
  private static final long MAX_ODD_GAP_MILLIS = 6000;
  private static final int ALL_PERMILLE = 1000;

  /** A lease of 5.8 s is renewed each second and has expired for certain after 6.2 s. */
  private static final long SHORTEST_CUT_MILLIS = 5000;

  private static final long LONGEST_CUT_MILLIS = 8000;
  private static final long MIN_CUT_GAP_MILLIS = 800;
  private static final long MAX_CUT_GAP_MILLIS = 3000;

  private static final long ADVICE_SEED = 0x616476696365L;
  private static final int MAX_ADVICE_FAULTS = 4;
  private static final long LONGEST_ADVICE_FAULT_MILLIS = 10_000;

  /** Least time between two faults of a run with few of them. */
  private static final long GAP_MILLIS = 14_000;

  private final SplittableRandom random;

  /** Drawn apart, so that a seed means the same other faults. */
  private final SplittableRandom series;

  /** Drawn apart for the same reason. */
  private final SplittableRandom evacuations;

  /** Drawn apart for the same reason. */
  private final SplittableRandom maintenance;

  /** Drawn apart for the same reason. */
  private final SplittableRandom failures;

  /** Drawn apart for the same reason. */
  private final SplittableRandom cuts;

  /** Drawn apart for the same reason. */
  private final SplittableRandom advices;

  /** Drawn apart for the same reason. */
  private final SplittableRandom oddEntries;

  private final SoakSizes sizes;
  private final long length;

  private FaultPlan(SoakSizes sizes) {
    this.sizes = sizes;
    this.random = new SplittableRandom(sizes.seed());
    this.series = new SplittableRandom(~sizes.seed());
    this.evacuations = series.split();
    this.maintenance = new SplittableRandom(sizes.seed() ^ MAINTENANCE_SEED);
    this.failures = new SplittableRandom(sizes.seed() ^ FAILURE_SEED);
    this.cuts = new SplittableRandom(sizes.seed() ^ CUT_SEED);
    this.advices = new SplittableRandom(sizes.seed() ^ ADVICE_SEED);
    this.oddEntries = new SplittableRandom(sizes.seed() ^ ODD_ENTRIES_SEED);
    this.length = sizes.faultTime().toMillis();
  }

  /** Returns the faults in the order of their times. */
  static List<Fault.Timed> draw(SoakSizes sizes) {
    return switch (sizes.plan()) {
      case MIXED -> new FaultPlan(sizes).drawAll();
      case CANCELS -> CancelPlan.draw(sizes);
      case SERVICES -> new FaultPlan(sizes).drawFew();
      case PLANNED -> PlannedWorkPlan.draw(sizes);
      case ODD_ENTRIES -> new FaultPlan(sizes).drawOddEntries();
      case PARTIAL_PARTITION -> PartialPartitionPlan.draw(sizes);
      case CALM_AFTER_OWNERS -> CalmAfterOwnersPlan.draw(sizes);
      case CALM_AFTER_FAILURES -> CalmAfterFailuresPlan.draw(sizes);
    };
  }

  private List<Fault.Timed> drawAll() {
    List<Fault.Timed> plan = new ArrayList<>();
    boolean returns = length > CALM_MILLIS + RETURN_MILLIS && random.nextBoolean();
    long end = returns ? length - RETURN_MILLIS : length;
    long begin = length > RETURN_MILLIS && random.nextBoolean() ? addRolling(plan) : CALM_MILLIS;
    for (long at = next(begin); at < end; at = next(at)) {
      plan.add(new Fault.Timed(at, any(end - at)));
    }
    if (returns) {
      addReturn(plan, end);
    } else if (random.nextBoolean()) {
      addShortReturn(plan);
    }
    if (series.nextBoolean()) {
      addCrashSeries(plan, end);
    }
    if (evacuations.nextBoolean()) {
      addEvacuations(plan);
    }
    if (maintenance.nextBoolean()) {
      addMaintenance(plan);
    }
    if (failures.nextBoolean()) {
      addFailures(plan);
    }
    if (cuts.nextBoolean()) {
      addCuts(plan);
    }
    // Only runs that have jobs which need advice; JobMix draws the same.
    if (advices.nextBoolean()) {
      addAdviceFaults(plan);
    }
    plan.addAll(PlannedWorkPlan.drawBesideFaults(sizes));
    if (oddEntries.nextBoolean()) {
      addOddEntries(plan);
    }
    List<Fault.Timed> lateOrders = LateOrdersPlan.drawBesideFaults(sizes);
    plan.addAll(lateOrders);
    plan.addAll(PartialPartitionPlan.drawBesideFaults(sizes, !lateOrders.isEmpty()));
    plan.sort(Comparator.comparingLong(Fault.Timed::atMillis));
    return List.copyOf(plan);
  }

  /** Draws single faults with calm times between them. */
  private List<Fault.Timed> drawFew() {
    List<Fault.Timed> plan = new ArrayList<>();
    for (long at = CALM_MILLIS + random.nextLong(GAP_MILLIS);
        at < length;
        at += GAP_MILLIS + random.nextLong(GAP_MILLIS)) {
      plan.add(new Fault.Timed(at, any(length - at)));
    }
    // A run lasts until its last fault is over.
    plan.add(new Fault.Timed(length - 1, new Fault.CrashExecutor(1)));
    return List.copyOf(plan);
  }

  /**
   * The executors of a rack are cut off in series and run on, each time for about as long as a
   * lease, so that a task that needs one of them is lost again and again.
   */
  private void addCuts(List<Fault.Timed> plan) {
    List<Integer> ofRack = rack(1 + cuts.nextInt(sizes.executors()));
    long at = cuts.nextLong(CALM_MILLIS, Math.max(CALM_MILLIS + 1, length / 4));
    while (at < length) {
      long lasting = Math.min(length - at, cuts.nextLong(SHORTEST_CUT_MILLIS, LONGEST_CUT_MILLIS));
      for (int executor : ofRack) {
        plan.add(new Fault.Timed(at, new Fault.LoseOrders(executor, ALL_PERMILLE, false, lasting)));
      }
      at += lasting + cuts.nextLong(MIN_CUT_GAP_MILLIS, MAX_CUT_GAP_MILLIS);
    }
  }

  private void addAdviceFaults(List<Fault.Timed> plan) {
    int count = 1 + advices.nextInt(MAX_ADVICE_FAULTS);
    Fault.AdviceMode[] modes = Fault.AdviceMode.values();
    for (int i = 0; i < count; i++) {
      long at = advices.nextLong(CALM_MILLIS, length);
      long lasting = Math.min(length - at, advices.nextLong(500, LONGEST_ADVICE_FAULT_MILLIS));
      Fault.AdviceMode mode = modes[advices.nextInt(modes.length)];
      plan.add(new Fault.Timed(at, new Fault.DisturbAdvice(mode, lasting)));
    }
  }

  /** Draws odd entries every few seconds beside single other faults with calm times between. */
  private List<Fault.Timed> drawOddEntries() {
    List<Fault.Timed> plan = new ArrayList<>(drawFew());
    long at = CALM_MILLIS;
    while (at < length) {
      plan.add(new Fault.Timed(at, new Fault.WriteOddEntries()));
      at += oddEntries.nextLong(MIN_ODD_GAP_MILLIS, MAX_ODD_GAP_MILLIS);
    }
    plan.sort(Comparator.comparingLong(Fault.Timed::atMillis));
    return List.copyOf(plan);
  }

  /** Odd entries are written several times, the last time when all other faults have begun. */
  private void addOddEntries(List<Fault.Timed> plan) {
    int count = 1 + oddEntries.nextInt(MAX_ODD_ENTRIES);
    for (int i = 0; i < count; i++) {
      long at = oddEntries.nextLong(CALM_MILLIS, length);
      plan.add(new Fault.Timed(at, new Fault.WriteOddEntries()));
    }
    plan.add(new Fault.Timed(length - 1, new Fault.WriteOddEntries()));
  }

  /** Returns the executors in the rack of one of them. */
  private List<Integer> rack(int executor) {
    String rack = FleetStandIn.labelsOfExecutor(executor).getLast();
    return IntStream.rangeClosed(1, sizes.executors())
        .filter(number -> FleetStandIn.labelsOfExecutor(number).contains(rack))
        .boxed()
        .toList();
  }

  /** All executors with a label fail what they start, or one of them, several times. */
  private void addFailures(List<Fault.Timed> plan) {
    int count = 1 + failures.nextInt(MAX_FAILURES);
    for (int i = 0; i < count; i++) {
      long at = failures.nextLong(CALM_MILLIS, length);
      int drawn = 1 + failures.nextInt(sizes.executors());
      List<Integer> failing = failures.nextInt(3) > 0 ? rack(drawn) : List.of(drawn);
      long lasting = Math.min(length - at, 500L + failures.nextInt(LONGEST_FAILURE_MILLIS - 500));
      plan.add(new Fault.Timed(at, new Fault.FailRuns(failing, lasting)));
    }
  }

  /** Two VMs are stopped as planned while nothing else disturbs; returns when that is over. */
  private long addRolling(List<Fault.Timed> plan) {
    int first = random.nextInt(sizes.vms());
    int second = (first + 1 + random.nextInt(sizes.vms() - 1)) % sizes.vms();
    plan.add(new Fault.Timed(CALM_MILLIS, new Fault.StopVm(first)));
    plan.add(new Fault.Timed(CALM_MILLIS + STOP_MILLIS, new Fault.StopVm(second)));
    return CALM_MILLIS + 2 * STOP_MILLIS;
  }

  private long next(long at) {
    return at + random.nextLong(MEAN_GAP_MILLIS / 4, 2 * MEAN_GAP_MILLIS);
  }

  /** All VMs come back while the store is slow, and it stays so until callers have to be served. */
  private void addReturn(List<Fault.Timed> plan, long at) {
    int answer = random.nextInt(LEAST_SLOW_ANSWER_MILLIS, SLOWEST_ANSWER_MILLIS + 1);
    plan.add(new Fault.Timed(at, new Fault.SlowStore(answer, length - at)));
    plan.add(new Fault.Timed(at + random.nextLong(2000), killAll()));
  }

  /** All VMs come back while the store is slow for a while, among the other faults. */
  private void addShortReturn(List<Fault.Timed> plan) {
    long at = random.nextLong(CALM_MILLIS, length - CALM_MILLIS);
    int answer = random.nextInt(LEAST_SLOW_ANSWER_MILLIS, SLOWEST_ANSWER_MILLIS + 1);
    plan.add(new Fault.Timed(at, new Fault.SlowStore(answer, length - at)));
    plan.add(new Fault.Timed(at + random.nextLong(2000), killAll()));
  }

  /** A third of the executors crashes at once, several times in a row. */
  private void addCrashSeries(List<Fault.Timed> plan, long end) {
    long first = series.nextLong(CALM_MILLIS, end);
    int waves = 1 + series.nextInt(MAX_WAVES);
    for (int wave = 0; wave < waves; wave++) {
      long at = Math.min(end - 1, first + wave * SERIES_GAP_MILLIS);
      int offset = series.nextInt(sizes.executors());
      for (int i = 0; i < Math.max(1, sizes.executors() / EXECUTORS_PER_CRASH); i++) {
        int executor = 1 + (offset + i) % sizes.executors();
        plan.add(new Fault.Timed(at, new Fault.CrashExecutor(executor)));
      }
    }
  }

  /**
   * Failure domains are evacuated, several times and at the same time, and the store drops its
   * history around the end of some evacuations.
   */
  private void addEvacuations(List<Fault.Timed> plan) {
    int count = 1 + evacuations.nextInt(MAX_EVACUATIONS);
    for (int i = 0; i < count; i++) {
      long at = evacuations.nextLong(CALM_MILLIS, length);
      long lasting = Math.min(length - at, evacuations.nextLong(500, LONGEST_EVACUATION_MILLIS));
      int domain = evacuations.nextInt(FleetStandIn.zones().size());
      plan.add(new Fault.Timed(at, new Fault.EvacuateDomain(domain, lasting)));
      long drop = at + lasting + evacuations.nextLong(-1000, 1000);
      if (evacuations.nextBoolean() && drop > at && drop < length) {
        plan.add(new Fault.Timed(drop, new Fault.DropHistory()));
      }
    }
  }

  /** Waves of machines go through maintenance, which may overlap and share machines. */
  private void addMaintenance(List<Fault.Timed> plan) {
    int count = 1 + maintenance.nextInt(MAX_MAINTENANCE_WAVES);
    for (int wave = 1; wave <= count; wave++) {
      long at = maintenance.nextLong(CALM_MILLIS, length);
      List<Integer> machines =
          IntStream.rangeClosed(1, sizes.executors())
              .filter(number -> maintenance.nextBoolean())
              .boxed()
              .toList();
      int cap = 1 + maintenance.nextInt(2);
      int seconds = 10 + maintenance.nextInt(40);
      int lost = maintenance.nextBoolean() ? maintenance.nextInt(MOST_LOST_PERMILLE) : 0;
      plan.add(
          new Fault.Timed(
              at, new Fault.MaintainMachines(wave, machines, seconds, cap, lost, length - at)));
    }
  }

  private Fault killAll() {
    Set<Integer> all = IntStream.range(0, sizes.vms()).boxed().collect(Collectors.toSet());
    return new Fault.KillVms(all, random.nextLong(500, 2500));
  }

  private Fault any(long left) {
    long lasting = Math.min(left, random.nextLong(500, 6000));
    int vm = random.nextInt(sizes.vms());
    return switch (random.nextInt(KINDS)) {
      case 0 -> new Fault.KillVms(Set.of(vm), random.nextLong(200, 3000));
      case 1 -> new Fault.KillVms(several(), random.nextLong(200, 3000));
      case 2, 3 -> new Fault.StopVm(vm);
      case 4 -> new Fault.PauseVm(vm, lasting);
      case 5 -> storeFault(lasting);
      case 6 ->
          new Fault.LoseAnswers(
              1 + random.nextInt(MOST_LOST_PERMILLE), random.nextBoolean(), lasting);
      case 7 -> new Fault.BreakLink(vm, brokenMode(), lasting);
      default -> new Fault.CrashExecutor(1 + random.nextInt(sizes.executors()));
    };
  }

  private Fault storeFault(long lasting) {
    return switch (random.nextInt(3)) {
      case 0 -> new Fault.SilentStore(lasting);
      case 1 -> new Fault.RefusingStore(lasting);
      default ->
          new Fault.SlowStore(
              random.nextInt(LEAST_SLOW_ANSWER_MILLIS, SLOWEST_ANSWER_MILLIS + 1), lasting);
    };
  }

  private Set<Integer> several() {
    Set<Integer> drawn = new HashSet<>();
    while (drawn.size() < Math.max(1, sizes.vms() / 2)) {
      drawn.add(random.nextInt(sizes.vms()));
    }
    return Set.copyOf(drawn);
  }

  private LinkMode brokenMode() {
    LinkMode[] modes = LinkMode.values();
    return modes[1 + random.nextInt(modes.length - 1)];
  }
}
