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
 * What holders use of their guaranteed shapes. A job is within its guarantee if each member stands
 * in a slot of its organisation that has room for it, at that slot's home.
 */
final class GuaranteeUsage {

  private static final int NONE = -1;

  private final ReservedPlacements homes;
  private final Capacity[][] left;
  private final Map<OrganisationId, List<GuaranteedInstance>> copiesOf = new HashMap<>();
  private final WorkerCapacities unused;
  private final int workerCount;

  GuaranteeUsage(ReservedPlacements homes, int workerCount) {
    this.homes = homes;
    this.workerCount = workerCount;
    this.left = new Capacity[homes.copies().size()][];
    this.unused = WorkerCapacities.empty(workerCount);
    for (GuaranteedInstance copy : homes.copies()) {
      left[copy.number()] = new Capacity[copy.shape().members()];
      Arrays.fill(left[copy.number()], copy.shape().perMember());
      if (homes.hasHome(copy)) {
        copiesOf.computeIfAbsent(copy.organisation(), o -> new ArrayList<>()).add(copy);
        unused.give(homes.of(copy), copy.shape().perMember());
      }
    }
  }

  /** Returns what is not used of all guaranteed shapes, at their homes; not to be changed. */
  WorkerCapacities unused() {
    return unused;
  }

  /** Adds what an organisation does not use of its guaranteed shapes, at their homes. */
  void addUnused(OrganisationId organisation, WorkerCapacities room) {
    for (GuaranteedInstance copy : copiesOf.getOrDefault(organisation, List.of())) {
      int[] own = homes.of(copy);
      for (int slot = 0; slot < own.length; slot++) {
        room.give(own[slot], left[copy.number()][slot]);
      }
    }
  }

  /** Returns the rooms in one of which a job has to stand to be within its guarantee. */
  List<WorkerCapacities> roomsFor(Job job) {
    List<GuaranteedInstance> own = copiesFor(job);
    if (!hasSlots(own, job.shape())) {
      return new ArrayList<>();
    }
    if (GuaranteedInstance.isAnywhere(job.shape())) {
      return new ArrayList<>(List.of(room(own, job.shape())));
    }
    List<WorkerCapacities> rooms = new ArrayList<>();
    for (GuaranteedInstance copy : own) {
      if (copy.isAdjacentEnough(job.shape())) {
        rooms.add(room(List.of(copy), job.shape()));
      }
    }
    return rooms;
  }

  /** Returns the shapes that a job may use: work without accelerators uses none that have any. */
  private List<GuaranteedInstance> copiesFor(Job job) {
    List<GuaranteedInstance> own = copiesOf.getOrDefault(job.organisation(), List.of());
    if (own.isEmpty()) {
      return own;
    }
    boolean needsAny = job.shape().accelerators() > 0;
    List<GuaranteedInstance> matching = new ArrayList<>(own);
    matching.removeIf(c -> c.shape().accelerators() > 0 != needsAny);
    return matching;
  }

  /** Tells whether there are slots for all members, on whichever workers. */
  private boolean hasSlots(List<GuaranteedInstance> copies, Shape shape) {
    long members = 0;
    for (GuaranteedInstance copy : copies) {
      for (Capacity slot : left[copy.number()]) {
        members += slot.fits(shape.perMember());
      }
    }
    return members >= shape.members();
  }

  /** Returns room for as many members on each worker as its slots hold, each in one slot. */
  private WorkerCapacities room(List<GuaranteedInstance> copies, Shape shape) {
    WorkerCapacities room = WorkerCapacities.empty(workerCount);
    Capacity unit = shape.perMember();
    for (GuaranteedInstance copy : copies) {
      int[] own = homes.of(copy);
      for (int slot = 0; slot < own.length; slot++) {
        int members = Math.min(shape.members(), left[copy.number()][slot].fits(unit));
        room.give(own[slot], unit.times(members));
      }
    }
    return room;
  }

  /**
   * Counts a job as within its guarantee, in one guaranteed shape if it fits so, else over several.
   *
   * @param workers worker of each member, by number
   * @return false if it is not, and nothing was counted
   */
  boolean use(Job job, int[] workers) {
    List<GuaranteedInstance> own = copiesFor(job);
    for (GuaranteedInstance copy : own) {
      if (use(List.of(copy), job.shape(), workers)) {
        return true;
      }
    }
    return own.size() > 1 && use(own, job.shape(), workers);
  }

  private boolean use(List<GuaranteedInstance> copies, Shape shape, int[] workers) {
    List<int[]> taken = new ArrayList<>(workers.length);
    for (int worker : workers) {
      int[] slot = worker < 0 ? new int[0] : tightestSlot(copies, worker, shape.perMember());
      if (slot.length == 0) {
        taken.forEach(s -> giveBack(s, shape.perMember()));
        return false;
      }
      left[slot[0]][slot[1]] = left[slot[0]][slot[1]].minus(shape.perMember());
      taken.add(slot);
    }
    unused.take(workers, shape.perMember());
    return true;
  }

  private void giveBack(int[] slot, Capacity amount) {
    left[slot[0]][slot[1]] = left[slot[0]][slot[1]].plus(amount);
  }

  /** Returns the numbers of a guaranteed shape and of its slot; empty if none has room. */
  private int[] tightestSlot(List<GuaranteedInstance> own, int worker, Capacity amount) {
    int bestCopy = NONE;
    int bestSlot = NONE;
    for (GuaranteedInstance copy : own) {
      int[] workers = homes.of(copy);
      for (int slot = 0; slot < workers.length; slot++) {
        Capacity free = left[copy.number()][slot];
        if (workers[slot] != worker || !free.contains(amount)) {
          continue;
        }
        if (bestCopy == NONE || free.accelerators() < left[bestCopy][bestSlot].accelerators()) {
          bestCopy = copy.number();
          bestSlot = slot;
        }
      }
    }
    return bestCopy == NONE ? new int[0] : new int[] {bestCopy, bestSlot};
  }
}
