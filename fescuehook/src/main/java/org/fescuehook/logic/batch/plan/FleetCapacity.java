package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.fescuehook.logic.batch.advice.StepAdvice;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;

/**
 * Capacity of the usable executors while a plan is made. Sums are kept up to date, and groups of
 * candidates are cached by the properties of a step that determine them, so that planning a step
 * costs time proportional to the size of its group only.
 */
final class FleetCapacity {

  /**
   * If more than this share of the executors is suspect, the jobs are the cause rather than the
   * executors, and none is treated as suspect. This does not apply to the doubts of start
   * reliability, which tells the two causes apart.
   */
  private static final double MAX_SUSPECT_SHARE = 0.25;

  /** Prefers executors that are already in use, so that whole ones stay free. */
  private static final Comparator<CandidateExecutor> FULLEST_FIRST =
      Comparator.comparing(CandidateExecutor::suspect)
          .thenComparingInt(candidate -> candidate.free().accelerators())
          .thenComparingInt(candidate -> candidate.free().milliCores());

  /** Prefers executors whose crash costs least, and on which nothing else could have caused it. */
  private static final Comparator<CandidateExecutor> LEAST_RISK_FIRST =
      Comparator.comparing(CandidateExecutor::fragile)
          .thenComparing(CandidateExecutor::occupied)
          .thenComparing(CandidateExecutor::recentlyRestarted)
          .thenComparing(CandidateExecutor::suspect)
          .thenComparingDouble(candidate -> -candidate.free().coreEquivalents());

  private final List<CandidateExecutor> candidates;
  private final Map<ExecutorState, CandidateExecutor> byExecutor = new IdentityHashMap<>();
  private final Map<GroupKey, List<List<CandidateExecutor>>> groups = new HashMap<>();

  /** For each shape, the most tasks that fitted into one group when this was last counted. */
  private final Map<Shape, Integer> maxFittingTasks = new HashMap<>();

  private final boolean equallyFast;
  private int usableAccelerators;
  private long accelerators;
  private long milliCores;

  /** The properties that determine the groups of a step. */
  private record GroupKey(
      String pool,
      Set<Incarnation> forbidden,
      Optional<String> label,
      Optional<RackId> affinity,
      boolean sameRack,
      boolean nearOnly,
      StartRequirement requirement,
      Avoidance avoidance) {}

  /** The properties that determine how many tasks of a step fit into a group. */
  private record Shape(
      GroupKey group, ResourceVector demand, boolean serves, boolean acceptsSharing) {}

  FleetCapacity(List<CandidateExecutor> candidates) {
    this.candidates = candidates;
    this.equallyFast = candidates.stream().allMatch(candidate -> candidate.speedClass() == 0);
    for (CandidateExecutor candidate : candidates) {
      byExecutor.put(candidate.executor(), candidate);
      addToTotals(candidate, 1);
    }
  }

  /**
   * Returns the capacity that is free now.
   *
   * @param planned what the plan has placed so far; the capacity reads it whenever it counts tasks
   */
  static FleetCapacity available(
      Collection<ExecutorState> executors,
      PlannedTasks planned,
      SpeedClasses speeds,
      SchedulingStatistics statistics,
      long nowNanos) {
    FleetCapacity capacity =
        of(executors, ExecutorState::free, planned, speeds, statistics, nowNanos);
    for (CandidateExecutor candidate : capacity.candidates) {
      candidate.limitTrials();
      candidate.executor().runs().forEach(run -> candidate.addWork(run, nowNanos));
    }
    return capacity;
  }

  /**
   * Returns the whole capacity of the executors, as if nothing ran there.
   *
   * @param planned what the plan has placed so far; the capacity reads it whenever it counts tasks
   */
  static FleetCapacity total(
      Collection<ExecutorState> executors,
      PlannedTasks planned,
      SchedulingStatistics statistics,
      long nowNanos) {
    return of(
        executors,
        executor -> executor.profile().capacity(),
        planned,
        SpeedClasses.EQUAL,
        statistics,
        nowNanos);
  }

  private static FleetCapacity of(
      Collection<ExecutorState> executors,
      Function<ExecutorState, ResourceVector> capacity,
      PlannedTasks planned,
      SpeedClasses speeds,
      SchedulingStatistics statistics,
      long nowNanos) {
    long suspects = executors.stream().filter(executor -> executor.suspect(nowNanos)).count();
    boolean credible = suspects <= executors.size() * MAX_SUSPECT_SHARE;
    List<CandidateExecutor> candidates = new ArrayList<>();
    for (ExecutorState executor : executors) {
      boolean badlyReached = executor.unansweredOrders().connectsPoorly(nowNanos);
      boolean suspect = badlyReached || (credible && executor.suspect(nowNanos));
      candidates.add(
          new CandidateExecutor(
              executor,
              capacity.apply(executor),
              planned,
              suspect,
              executor.recentlyRestarted(nowNanos),
              speeds.of(executor),
              statistics.reliability().standing(executor, nowNanos)));
    }
    return new FleetCapacity(candidates);
  }

  private void addToTotals(CandidateExecutor candidate, int sign) {
    usableAccelerators += sign * candidate.usableAccelerators();
    accelerators += sign * candidate.free().accelerators();
    milliCores += sign * candidate.free().milliCores();
  }

  /** Returns the number of accelerators that can be used together with cores and memory. */
  int accelerators() {
    return usableAccelerators;
  }

  /** Returns the share of the executors that have a property. */
  double share(Predicate<CandidateExecutor> property) {
    return share((int) candidates.stream().filter(property).count(), candidates.size());
  }

  /** Tells whether at least half of a pool is free, both in accelerators and in cores. */
  boolean isHalfOf(FleetCapacity total, UnusableCapacity unusable) {
    return unusable.halfFree(accelerators, total.accelerators, milliCores, total.milliCores);
  }

  static double share(int free, int total) {
    return total == 0 ? 1 : (double) free / total;
  }

  /**
   * Reserves the capacity for a task. The free capacity becomes negative if more is reserved than
   * is free.
   */
  void reserve(TaskPlacement placement) {
    update(
        placement.executor(), candidate -> candidate.reserve(placement.step(), placement.task()));
  }

  /** Releases capacity of an executor. */
  void release(ExecutorState executor, ResourceVector demand) {
    maxFittingTasks.clear();
    update(executor, candidate -> candidate.release(demand));
  }

  /** Limits the free capacity of an executor to some amounts, each resource by itself. */
  void limitFree(ExecutorState executor, ResourceVector most) {
    update(executor, candidate -> candidate.limitFree(most));
  }

  /** Returns an independent copy. */
  FleetCapacity copy() {
    return new FleetCapacity(candidates.stream().map(CandidateExecutor::copy).toList());
  }

  private void update(ExecutorState executor, Consumer<CandidateExecutor> update) {
    CandidateExecutor candidate = byExecutor.get(executor);
    if (candidate == null) {
      return;
    }
    addToTotals(candidate, -1);
    update.accept(candidate);
    addToTotals(candidate, 1);
  }

  /** Returns the class of the speed of the executor of a placement. */
  int speedClass(TaskPlacement placement) {
    return byExecutor.get(placement.executor()).speedClass();
  }

  /** Returns the executors on which a step may run, in groups that count as near to each other. */
  List<List<CandidateExecutor>> groups(WaitingStep waiting, boolean nearOnly) {
    return groupKey(waiting, nearOnly)
        .map(key -> groups.computeIfAbsent(key, same -> findGroups(waiting, nearOnly)))
        .orElseGet(() -> findGroups(waiting, nearOnly));
  }

  /** Returns the group of a step to which an executor belongs; empty if there is none. */
  List<CandidateExecutor> groupOf(ExecutorState executor, WaitingStep waiting, boolean nearOnly) {
    return groups(waiting, nearOnly).stream()
        .filter(group -> group.stream().anyMatch(member -> member.executor() == executor))
        .findFirst()
        .orElse(List.of());
  }

  private static Optional<GroupKey> groupKey(WaitingStep waiting, boolean nearOnly) {
    if (waiting.advice().filter(StepAdvice.Ticketed.class::isInstance).isPresent()) {
      // Hardly any two steps have the same tickets.
      return Optional.empty();
    }
    BatchStep.PlacementRule placement = waiting.step().spec().placement();
    return Optional.of(
        new GroupKey(
            waiting.pool(),
            waiting.advice().map(StepAdvice::forbidden).orElse(Set.of()),
            placement.label(),
            placement.affinity(),
            placement.sameRack(),
            nearOnly,
            waiting.requirement(),
            waiting.avoidance()));
  }

  private static Optional<Shape> shape(WaitingStep waiting, boolean nearOnly) {
    BatchStep spec = waiting.step().spec();
    if (spec.placement().maxPerExecutor() > 0) {
      return Optional.empty();
    }
    boolean acceptsSharing = waiting.timing().acceptsSharing();
    return groupKey(waiting, nearOnly)
        .map(group -> new Shape(group, spec.demand(), spec.servesUsers(), acceptsSharing));
  }

  /** Returns the first group; absent if it has no capacity for even one task. */
  Optional<List<CandidateExecutor>> firstGroup(WaitingStep waiting, boolean nearOnly) {
    Optional<Shape> shape = shape(waiting, nearOnly);
    if (shape.map(maxFittingTasks::get).filter(most -> most == 0).isPresent()) {
      return Optional.empty();
    }
    List<List<CandidateExecutor>> all = groups(waiting, nearOnly);
    if (all.isEmpty() || fits(waiting, all.getFirst()) > 0) {
      return all.stream().findFirst();
    }
    if (all.size() == 1) {
      shape.ifPresent(key -> maxFittingTasks.put(key, 0));
    }
    return Optional.empty();
  }

  /**
   * Returns the group with the least capacity to spare into which a number of tasks fits; absent if
   * there is none. Among groups of different speeds, the speed decides first. Capacity only shrinks
   * while a plan is made, so that a shape which did not fit need not be counted again.
   */
  Optional<List<CandidateExecutor>> tightestGroup(
      WaitingStep waiting, int wanted, boolean nearOnly) {
    Optional<Shape> shape = shape(waiting, nearOnly);
    if (shape.map(maxFittingTasks::get).filter(most -> most < wanted).isPresent()) {
      return Optional.empty();
    }
    Optional<List<CandidateExecutor>> best = Optional.empty();
    PlacementSpeed speed = PlacementSpeed.of(waiting);
    List<List<CandidateExecutor>> all = groups(waiting, nearOnly);
    int bestPace = 0;
    int least = Integer.MAX_VALUE;
    int most = 0;
    for (List<CandidateExecutor> group : all) {
      int fitting = fits(waiting, group);
      most = Math.max(most, fitting);
      if (fitting < wanted) {
        continue;
      }
      int pace = equallyFast || all.size() == 1 ? 0 : PlacementSpeed.pace(waiting, group, wanted);
      int order = best.isEmpty() ? -1 : speed.compare(pace, bestPace);
      if (order < 0 || (order == 0 && fitting < least)) {
        best = Optional.of(group);
        bestPace = pace;
        least = fitting;
      }
    }
    int counted = most;
    shape.ifPresent(key -> maxFittingTasks.put(key, counted));
    return best;
  }

  private List<List<CandidateExecutor>> findGroups(WaitingStep waiting, boolean nearOnly) {
    BatchStep spec = waiting.step().spec();
    List<CandidateExecutor> suitable =
        candidates.stream().filter(candidate -> candidate.isEligible(waiting)).toList();
    if (!nearOnly) {
      return List.of(suitable);
    }
    if (spec.placement().affinity().isPresent()) {
      RackId rack = spec.placement().affinity().get();
      return List.of(suitable.stream().filter(candidate -> candidate.isInRack(rack)).toList());
    }
    if (!spec.placement().sameRack()) {
      return List.of(suitable);
    }
    Map<RackId, List<CandidateExecutor>> racks = new TreeMap<>();
    for (CandidateExecutor candidate : suitable) {
      RackId rack = candidate.executor().profile().rack();
      racks.computeIfAbsent(rack, name -> new ArrayList<>()).add(candidate);
    }
    return List.copyOf(racks.values());
  }

  /** Returns how many tasks of a step fit into a group of executors. */
  static int fits(WaitingStep waiting, List<CandidateExecutor> group) {
    long total = 0;
    for (CandidateExecutor candidate : group) {
      total += fits(waiting, candidate);
    }
    return (int) Math.min(total, Integer.MAX_VALUE);
  }

  /** Returns how many tasks of a step fit onto an executor. */
  static int fits(WaitingStep waiting, CandidateExecutor candidate) {
    BatchStep spec = waiting.step().spec();
    if (candidate.onProbation()
        || (candidate.interferesWith(spec) && !waiting.timing().acceptsSharing())) {
      return 0;
    }
    int fitting = Math.min(candidate.free().fits(spec.demand()), candidate.trialsLeft(waiting));
    int most = spec.placement().maxPerExecutor();
    if (most == 0) {
      return fitting;
    }
    return Math.clamp(most - candidate.countTasks(waiting.step()), 0, fitting);
  }

  /**
   * Places tasks in a group. For a gang, executors of the speed that suits it come first, among
   * them the fullest. Single tasks fill the fullest that are fast enough, so that whole ones stay
   * free; among equally full ones the speed decides. Suspect executors come last. Tasks suspected
   * of crashing executors go where a crash costs least and leaves the least doubt about its cause.
   *
   * @return the placements; fewer than tasks if the group has no capacity for all
   */
  static List<TaskPlacement> placeTasks(
      WaitingStep waiting, List<TaskProgress> tasks, List<CandidateExecutor> group) {
    List<CandidateExecutor> ordered = new ArrayList<>();
    for (CandidateExecutor candidate : group) {
      if (fits(waiting, candidate) > 0) {
        ordered.add(candidate);
      }
    }
    ordered.sort(
        Comparator.comparingDouble((CandidateExecutor candidate) -> candidate.trialOrder(waiting))
            .thenComparing(
                waiting.mayCrash()
                    ? LEAST_RISK_FIRST
                    : PlacementSpeed.order(waiting, ordered, tasks.size(), FULLEST_FIRST)));
    int trials = waiting.requirement().maxTrials(tasks.size());
    List<TaskPlacement> placements = new ArrayList<>();
    for (CandidateExecutor candidate : ordered) {
      int fitting = fits(waiting, candidate);
      if (candidate.doubted()) {
        fitting = Math.min(fitting, trials);
        trials -= fitting;
      }
      for (int placed = 0; placed < fitting; placed++) {
        if (placements.size() == tasks.size()) {
          return placements;
        }
        placements.add(
            new TaskPlacement(waiting.step(), tasks.get(placements.size()), candidate.executor()));
      }
    }
    return placements;
  }
}
