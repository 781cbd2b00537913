package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.Demand;
import org.fescuehook.model.fleet.RackId;

/**
 * Free capacity of the usable executors while a plan is made. Sums are kept up to date, and groups
 * are remembered by what decides them, so that a step costs as much as its group is large.
 */
final class FleetCapacity {

  /** Where more than this share are suspects, the jobs are to blame rather than the executors. */
  private static final double MOST_SUSPECTS = 0.25;

  /** Keeps whole executors free. */
  private static final Comparator<CandidateExecutor> FULLEST =
      Comparator.comparing(CandidateExecutor::suspect)
          .thenComparingInt(slot -> slot.free().accelerators())
          .thenComparingInt(slot -> slot.free().milliCores());

  /** Loses the least if the executor crashes, and leaves no other cause for that. */
  private static final Comparator<CandidateExecutor> LEAST_LOST =
      Comparator.comparing(CandidateExecutor::fragile)
          .thenComparing(CandidateExecutor::occupied)
          .thenComparing(CandidateExecutor::recentlyRestarted)
          .thenComparing(CandidateExecutor::suspect)
          .thenComparingDouble(slot -> -slot.free().coreEquivalents());

  private final List<CandidateExecutor> slots;
  private final Map<ExecutorState, CandidateExecutor> byExecutor = new IdentityHashMap<>();
  private final Map<GroupKey, List<List<CandidateExecutor>>> groups = new HashMap<>();

  /** Most tasks of a shape that fitted into one group when that was counted last. */
  private final Map<Shape, Integer> fitted = new HashMap<>();

  private int usableAccelerators;
  private long accelerators;
  private long milliCores;

  /** What decides the groups of a step that has not failed and that nobody advises on. */
  private record GroupKey(
      String pool,
      Optional<String> label,
      Optional<RackId> affinity,
      boolean sameRack,
      boolean gang,
      boolean nearOnly) {}

  /** What decides how many tasks of a step fit into a group. */
  private record Shape(GroupKey group, Demand demand, boolean serves, boolean toleratesOthers) {}

  FleetCapacity(List<CandidateExecutor> slots) {
    this.slots = slots;
    for (CandidateExecutor slot : slots) {
      byExecutor.put(slot.executor(), slot);
      count(slot, 1);
    }
  }

  /** Returns what is free now. */
  static FleetCapacity now(Collection<ExecutorState> executors, long nowNanos) {
    FleetCapacity room = of(executors, ExecutorState::free, nowNanos);
    for (CandidateExecutor slot : room.slots) {
      slot.executor().runs().forEach(run -> slot.holds(run, nowNanos));
    }
    return room;
  }

  /** Returns what the executors have when nothing runs. */
  static FleetCapacity empty(Collection<ExecutorState> executors, long nowNanos) {
    return of(executors, executor -> executor.profile().capacity(), nowNanos);
  }

  private static FleetCapacity of(
      Collection<ExecutorState> executors, Function<ExecutorState, Demand> room, long nowNanos) {
    long suspects = executors.stream().filter(executor -> executor.suspect(nowNanos)).count();
    boolean credible = suspects <= executors.size() * MOST_SUSPECTS;
    List<CandidateExecutor> slots = new ArrayList<>();
    for (ExecutorState executor : executors) {
      boolean suspect = credible && executor.suspect(nowNanos);
      slots.add(
          new CandidateExecutor(
              executor, room.apply(executor), suspect, executor.recentlyRestarted(nowNanos)));
    }
    return new FleetCapacity(slots);
  }

  private void count(CandidateExecutor slot, int sign) {
    usableAccelerators += sign * usableAccelerators(slot);
    accelerators += sign * slot.free().accelerators();
    milliCores += sign * slot.free().milliCores();
  }

  /**
   * Returns the accelerators of all slots together that work can use: where cores or memory are
   * taken, only as large a share of the accelerators counts as is left of these.
   */
  int accelerators() {
    return usableAccelerators;
  }

  private static int usableAccelerators(CandidateExecutor slot) {
    Demand free = slot.free();
    Demand whole = slot.executor().profile().capacity();
    double share =
        Math.min(
            share(free.milliCores(), whole.milliCores()),
            share(free.memoryMegabytes(), whole.memoryMegabytes()));
    return (int) Math.max(0, Math.min(free.accelerators(), share * whole.accelerators()));
  }

  /** Tells whether more than half of what the other room has is here, of accelerators and cores. */
  boolean overHalfOf(FleetCapacity whole) {
    return 2 * accelerators > whole.accelerators && 2 * milliCores > whole.milliCores;
  }

  private static double share(int free, int whole) {
    return whole == 0 ? 1 : (double) free / whole;
  }

  /** Takes room on an executor for a task; what is taken twice makes it negative. */
  void take(TaskPlacement place) {
    change(place.executor(), slot -> slot.take(place.step(), place.task()));
  }

  /** Gives capacity of an executor back. */
  void give(ExecutorState executor, Demand demand) {
    fitted.clear();
    change(executor, slot -> slot.give(demand));
  }

  private void change(ExecutorState executor, Consumer<CandidateExecutor> change) {
    CandidateExecutor slot = byExecutor.get(executor);
    if (slot == null) {
      return;
    }
    count(slot, -1);
    change.accept(slot);
    count(slot, 1);
  }

  /** Returns the slots on which a step may run, in groups that count as near to each other. */
  List<List<CandidateExecutor>> groups(WaitingStep waiting, boolean nearOnly) {
    return groupKey(waiting, nearOnly)
        .map(key -> groups.computeIfAbsent(key, same -> findGroups(waiting, nearOnly)))
        .orElseGet(() -> findGroups(waiting, nearOnly));
  }

  private static Optional<GroupKey> groupKey(WaitingStep waiting, boolean nearOnly) {
    StepProgress step = waiting.step();
    if (step.hasFailed() || waiting.permitted().isPresent()) {
      return Optional.empty();
    }
    BatchStep.PlacementRule placement = step.spec().placement();
    return Optional.of(
        new GroupKey(
            waiting.pool(),
            placement.label(),
            placement.affinity(),
            placement.sameRack(),
            step.spec().gang(),
            nearOnly));
  }

  private static Optional<Shape> shape(WaitingStep waiting, boolean nearOnly) {
    BatchStep spec = waiting.step().spec();
    if (spec.placement().mostPerExecutor() > 0) {
      return Optional.empty();
    }
    boolean tolerates = waiting.timing().toleratesOthers();
    return groupKey(waiting, nearOnly)
        .map(group -> new Shape(group, spec.demand(), spec.serves(), tolerates));
  }

  /** Returns the first group; absent if not one task fits there. */
  Optional<List<CandidateExecutor>> first(WaitingStep waiting, boolean nearOnly) {
    Optional<Shape> shape = shape(waiting, nearOnly);
    if (shape.map(fitted::get).filter(most -> most == 0).isPresent()) {
      return Optional.empty();
    }
    List<List<CandidateExecutor>> all = groups(waiting, nearOnly);
    if (all.isEmpty() || fits(waiting, all.getFirst()) > 0) {
      return all.stream().findFirst();
    }
    if (all.size() == 1) {
      shape.ifPresent(key -> fitted.put(key, 0));
    }
    return Optional.empty();
  }

  /**
   * Returns the group with the least room to spare in which a number of tasks fits; absent if there
   * is none. Room only shrinks while a plan is made, so that what did not fit is not counted again.
   */
  Optional<List<CandidateExecutor>> tightest(WaitingStep waiting, int wanted, boolean nearOnly) {
    Optional<Shape> shape = shape(waiting, nearOnly);
    if (shape.map(fitted::get).filter(most -> most < wanted).isPresent()) {
      return Optional.empty();
    }
    Optional<List<CandidateExecutor>> best = Optional.empty();
    int least = Integer.MAX_VALUE;
    int most = 0;
    for (List<CandidateExecutor> group : groups(waiting, nearOnly)) {
      int fitting = fits(waiting, group);
      most = Math.max(most, fitting);
      if (fitting >= wanted && (best.isEmpty() || fitting < least)) {
        best = Optional.of(group);
        least = fitting;
      }
    }
    int counted = most;
    shape.ifPresent(key -> fitted.put(key, counted));
    return best;
  }

  private List<List<CandidateExecutor>> findGroups(WaitingStep waiting, boolean nearOnly) {
    BatchStep spec = waiting.step().spec();
    List<CandidateExecutor> suitable = slots.stream().filter(slot -> slot.suits(waiting)).toList();
    if (!nearOnly) {
      return List.of(suitable);
    }
    if (spec.placement().affinity().isPresent()) {
      RackId rack = spec.placement().affinity().get();
      return List.of(suitable.stream().filter(slot -> in(slot, rack)).toList());
    }
    if (!spec.placement().sameRack()) {
      return List.of(suitable);
    }
    Map<RackId, List<CandidateExecutor>> racks = new TreeMap<>();
    for (CandidateExecutor slot : suitable) {
      RackId rack = slot.executor().profile().rack();
      racks.computeIfAbsent(rack, name -> new ArrayList<>()).add(slot);
    }
    return List.copyOf(racks.values());
  }

  private static boolean in(CandidateExecutor slot, RackId rack) {
    return slot.executor().profile().rack().equals(rack);
  }

  /** Returns how many tasks of a step fit into a group of slots. */
  static int fits(WaitingStep waiting, List<CandidateExecutor> group) {
    long total = 0;
    for (CandidateExecutor slot : group) {
      total += fits(waiting, slot);
    }
    return (int) Math.min(total, Integer.MAX_VALUE);
  }

  /** Returns how many tasks of a step fit into a slot. */
  static int fits(WaitingStep waiting, CandidateExecutor slot) {
    BatchStep spec = waiting.step().spec();
    if (slot.onProbation() || (slot.disturbs(spec) && !waiting.timing().toleratesOthers())) {
      return 0;
    }
    int fitting = slot.free().fits(spec.demand());
    int most = spec.placement().mostPerExecutor();
    if (most == 0) {
      return fitting;
    }
    return Math.clamp(most - present(waiting.step(), slot), 0, fitting);
  }

  private static int present(StepProgress step, CandidateExecutor slot) {
    int count = 0;
    for (var run : slot.executor().runs()) {
      if (run.step() == step) {
        count++;
      }
    }
    return count;
  }

  /**
   * Places tasks in a group, the fullest executors first so that whole ones stay free, and those on
   * which a run has failed last. Tasks that may crash their executor go where least is lost, and
   * where a crash tells most.
   *
   * @return the places; fewer than tasks if the group has no room for all
   */
  static List<TaskPlacement> place(
      WaitingStep waiting, List<TaskProgress> tasks, List<CandidateExecutor> group) {
    List<CandidateExecutor> order = new ArrayList<>();
    for (CandidateExecutor slot : group) {
      if (fits(waiting, slot) > 0) {
        order.add(slot);
      }
    }
    order.sort(waiting.mayCrash() ? LEAST_LOST : FULLEST);
    List<TaskPlacement> places = new ArrayList<>();
    for (CandidateExecutor slot : order) {
      int fitting = fits(waiting, slot);
      for (int taken = 0; taken < fitting; taken++) {
        if (places.size() == tasks.size()) {
          return places;
        }
        places.add(new TaskPlacement(waiting.step(), tasks.get(places.size()), slot.executor()));
      }
    }
    return places;
  }
}
