package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * Tracks how much of the guaranteed shapes is in use. A guaranteed shape has one slot for each of
 * its members, and each slot is reserved on a worker. A job is within its guarantee if every member
 * runs on the worker of a slot of its organisation that has enough capacity left.
 */
final class GuaranteeUsage {

  private static final int NONE = -1;

  private final ReservedPlacements placements;
  private final Capacity[][] unusedInSlot;
  private final Map<OrganisationId, List<GuaranteedInstance>> instancesOf = new HashMap<>();
  private final WorkerCapacities unused;
  private final int workerCount;

  GuaranteeUsage(ReservedPlacements placements, int workerCount) {
    this.placements = placements;
    this.workerCount = workerCount;
    this.unusedInSlot = new Capacity[placements.instances().size()][];
    this.unused = WorkerCapacities.empty(workerCount);
    for (GuaranteedInstance instance : placements.instances()) {
      unusedInSlot[instance.number()] = new Capacity[instance.shape().members()];
      Arrays.fill(unusedInSlot[instance.number()], instance.shape().perMember());
      if (placements.isPlaced(instance)) {
        instancesOf.computeIfAbsent(instance.organisation(), o -> new ArrayList<>()).add(instance);
        unused.add(placements.workersOf(instance), instance.shape().perMember());
      }
    }
  }

  /**
   * Returns the unused capacity of all guaranteed shapes on their reserved workers; must not be
   * modified.
   */
  WorkerCapacities unused() {
    return unused;
  }

  /** Adds the unused capacity of an organisation's guaranteed shapes on their reserved workers. */
  void addUnused(OrganisationId organisation, WorkerCapacities capacities) {
    for (GuaranteedInstance instance : instancesOf.getOrDefault(organisation, List.of())) {
      int[] workers = placements.workersOf(instance);
      for (int slot = 0; slot < workers.length; slot++) {
        capacities.add(workers[slot], unusedInSlot[instance.number()][slot]);
      }
    }
  }

  /** Returns reserved capacities; a job is within its guarantee if it fits in one of them. */
  List<WorkerCapacities> reservedCapacitiesFor(Job job) {
    List<GuaranteedInstance> ownInstances = instancesFor(job);
    if (!hasSlots(ownInstances, job.shape())) {
      return new ArrayList<>();
    }
    if (GuaranteedInstance.allowsAnyRack(job.shape())) {
      return new ArrayList<>(List.of(reservedCapacity(ownInstances, job.shape())));
    }
    List<WorkerCapacities> options = new ArrayList<>();
    for (GuaranteedInstance instance : ownInstances) {
      if (instance.satisfiesRackLimitOf(job.shape())) {
        options.add(reservedCapacity(List.of(instance), job.shape()));
      }
    }
    return options;
  }

  /**
   * Returns the guaranteed shapes of the job's organisation that it may use. Jobs without
   * accelerators use only shapes without accelerators, and vice versa.
   */
  private List<GuaranteedInstance> instancesFor(Job job) {
    List<GuaranteedInstance> ownInstances = instancesOf.getOrDefault(job.organisation(), List.of());
    if (ownInstances.isEmpty()) {
      return ownInstances;
    }
    boolean needsAccelerators = job.shape().accelerators() > 0;
    List<GuaranteedInstance> matching = new ArrayList<>(ownInstances);
    matching.removeIf(i -> i.shape().accelerators() > 0 != needsAccelerators);
    return matching;
  }

  /** Returns whether the slots can hold all members, regardless of their workers. */
  private boolean hasSlots(List<GuaranteedInstance> instances, Shape shape) {
    long members = 0;
    for (GuaranteedInstance instance : instances) {
      for (Capacity slot : unusedInSlot[instance.number()]) {
        members += slot.fits(shape.perMember());
      }
    }
    return members >= shape.members();
  }

  /**
   * Returns, for each worker, the capacity for as many members as its slots can hold, each member
   * within one slot.
   */
  private WorkerCapacities reservedCapacity(List<GuaranteedInstance> instances, Shape shape) {
    WorkerCapacities capacities = WorkerCapacities.empty(workerCount);
    Capacity unit = shape.perMember();
    for (GuaranteedInstance instance : instances) {
      int[] workers = placements.workersOf(instance);
      for (int slot = 0; slot < workers.length; slot++) {
        int members = Math.min(shape.members(), unusedInSlot[instance.number()][slot].fits(unit));
        capacities.add(workers[slot], unit.times(members));
      }
    }
    return capacities;
  }

  /**
   * Charges a job to the guarantees: to a single guaranteed shape if it fits in one, else to
   * several.
   *
   * @param workers number of the worker of each member
   * @return false if the job is not within its guarantee; nothing is charged then
   */
  boolean charge(Job job, int[] workers) {
    List<GuaranteedInstance> ownInstances = instancesFor(job);
    for (GuaranteedInstance instance : ownInstances) {
      if (charge(List.of(instance), job.shape(), workers)) {
        return true;
      }
    }
    return ownInstances.size() > 1 && charge(ownInstances, job.shape(), workers);
  }

  private boolean charge(List<GuaranteedInstance> instances, Shape shape, int[] workers) {
    List<int[]> charged = new ArrayList<>(workers.length);
    for (int worker : workers) {
      int[] slot = worker < 0 ? new int[0] : tightestSlot(instances, worker, shape.perMember());
      if (slot.length == 0) {
        charged.forEach(s -> refund(s, shape.perMember()));
        return false;
      }
      unusedInSlot[slot[0]][slot[1]] = unusedInSlot[slot[0]][slot[1]].minus(shape.perMember());
      charged.add(slot);
    }
    unused.subtract(workers, shape.perMember());
    return true;
  }

  private void refund(int[] slot, Capacity amount) {
    unusedInSlot[slot[0]][slot[1]] = unusedInSlot[slot[0]][slot[1]].plus(amount);
  }

  /**
   * Returns the number of a guaranteed shape and of its slot with the fewest accelerators left;
   * empty if no slot has enough capacity.
   */
  private int[] tightestSlot(List<GuaranteedInstance> ownInstances, int worker, Capacity amount) {
    int bestInstance = NONE;
    int bestSlot = NONE;
    for (GuaranteedInstance instance : ownInstances) {
      int[] workers = placements.workersOf(instance);
      for (int slot = 0; slot < workers.length; slot++) {
        Capacity free = unusedInSlot[instance.number()][slot];
        if (workers[slot] != worker || !free.contains(amount)) {
          continue;
        }
        if (bestInstance == NONE
            || free.accelerators() < unusedInSlot[bestInstance][bestSlot].accelerators()) {
          bestInstance = instance.number();
          bestSlot = slot;
        }
      }
    }
    return bestInstance == NONE ? new int[0] : new int[] {bestInstance, bestSlot};
  }
}
