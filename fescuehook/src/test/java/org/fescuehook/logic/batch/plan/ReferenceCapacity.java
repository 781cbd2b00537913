package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.Demand;
import org.fescuehook.model.fleet.RackId;

/** Free capacity of the usable executors while a plan is made. */
final class ReferenceCapacity {

  /** Where more than this share are suspects, the jobs are to blame rather than the executors. */
  private static final double MOST_SUSPECTS = 0.25;

  private final List<ReferenceCandidate> slots;

  ReferenceCapacity(List<ReferenceCandidate> slots) {
    this.slots = slots;
  }

  /** Returns what is free now. */
  static ReferenceCapacity now(Collection<ExecutorState> executors, long nowNanos) {
    ReferenceCapacity room = of(executors, ExecutorState::free, nowNanos);
    for (ReferenceCandidate slot : room.slots) {
      slot.executor().runs().forEach(run -> slot.holds(run.step().spec()));
    }
    return room;
  }

  /** Returns what the executors have when nothing runs. */
  static ReferenceCapacity empty(Collection<ExecutorState> executors, long nowNanos) {
    return of(executors, executor -> executor.profile().capacity(), nowNanos);
  }

  private static ReferenceCapacity of(
      Collection<ExecutorState> executors, Function<ExecutorState, Demand> room, long nowNanos) {
    long suspects = executors.stream().filter(executor -> executor.suspect(nowNanos)).count();
    boolean credible = suspects <= executors.size() * MOST_SUSPECTS;
    List<ReferenceCandidate> slots = new ArrayList<>();
    for (ExecutorState executor : executors) {
      boolean suspect = credible && executor.suspect(nowNanos);
      slots.add(new ReferenceCandidate(executor, room.apply(executor), suspect));
    }
    return new ReferenceCapacity(slots);
  }

  /**
   * Returns the accelerators of all slots together that work can use: where cores or memory are
   * taken, only as large a share of the accelerators counts as is left of these.
   */
  int accelerators() {
    return slots.stream().mapToInt(ReferenceCapacity::usableAccelerators).sum();
  }

  private static int usableAccelerators(ReferenceCandidate slot) {
    Demand free = slot.free();
    Demand whole = slot.executor().profile().capacity();
    double share =
        Math.min(
            share(free.milliCores(), whole.milliCores()),
            share(free.memoryMegabytes(), whole.memoryMegabytes()));
    return (int) Math.max(0, Math.min(free.accelerators(), share * whole.accelerators()));
  }

  /** Tells whether more than half of what the other room has is here, of accelerators and cores. */
  boolean overHalfOf(ReferenceCapacity whole) {
    return 2 * sum(Demand::accelerators) > whole.sum(Demand::accelerators)
        && 2 * sum(Demand::milliCores) > whole.sum(Demand::milliCores);
  }

  private long sum(ToIntFunction<Demand> resource) {
    return slots.stream().mapToLong(slot -> resource.applyAsInt(slot.free())).sum();
  }

  private static double share(int free, int whole) {
    return whole == 0 ? 1 : (double) free / whole;
  }

  /** Takes room on an executor for a task; what is taken twice makes it negative. */
  void take(ExecutorState executor, BatchStep step) {
    slot(executor).ifPresent(slot -> slot.take(step));
  }

  /** Gives capacity of an executor back. */
  void give(ExecutorState executor, Demand demand) {
    slot(executor).ifPresent(slot -> slot.give(demand));
  }

  private Optional<ReferenceCandidate> slot(ExecutorState executor) {
    for (ReferenceCandidate slot : slots) {
      if (slot.executor() == executor) {
        return Optional.of(slot);
      }
    }
    return Optional.empty();
  }

  /** Returns the slots on which a step may run, in groups that count as near to each other. */
  List<List<ReferenceCandidate>> groups(WaitingStep waiting, boolean nearOnly) {
    BatchStep spec = waiting.step().spec();
    List<ReferenceCandidate> suitable = slots.stream().filter(slot -> slot.suits(waiting)).toList();
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
    Map<RackId, List<ReferenceCandidate>> racks = new TreeMap<>();
    for (ReferenceCandidate slot : suitable) {
      RackId rack = slot.executor().profile().rack();
      racks.computeIfAbsent(rack, name -> new ArrayList<>()).add(slot);
    }
    return List.copyOf(racks.values());
  }

  private static boolean in(ReferenceCandidate slot, RackId rack) {
    return slot.executor().profile().rack().equals(rack);
  }

  /** Returns how many tasks of a step fit into a group of slots. */
  static int fits(WaitingStep waiting, List<ReferenceCandidate> group) {
    long total = 0;
    for (ReferenceCandidate slot : group) {
      total += fits(waiting, slot);
    }
    return (int) Math.min(total, Integer.MAX_VALUE);
  }

  private static int fits(WaitingStep waiting, ReferenceCandidate slot) {
    BatchStep spec = waiting.step().spec();
    if (slot.disturbs(spec) && !waiting.timing().toleratesOthers()) {
      return 0;
    }
    int fitting = slot.free().fits(spec.demand());
    int most = spec.placement().mostPerExecutor();
    if (most == 0) {
      return fitting;
    }
    return Math.clamp(most - present(waiting.step(), slot), 0, fitting);
  }

  private static int present(StepProgress step, ReferenceCandidate slot) {
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
   * which a run has failed last.
   *
   * @return the places; fewer than tasks if the group has no room for all
   */
  static List<TaskPlacement> place(
      WaitingStep waiting, List<TaskProgress> tasks, List<ReferenceCandidate> group) {
    List<ReferenceCandidate> order = new ArrayList<>(group);
    order.sort(
        Comparator.comparing(ReferenceCandidate::suspect)
            .thenComparingInt(slot -> slot.free().accelerators())
            .thenComparingInt(slot -> slot.free().milliCores()));
    List<TaskPlacement> places = new ArrayList<>();
    for (ReferenceCandidate slot : order) {
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
