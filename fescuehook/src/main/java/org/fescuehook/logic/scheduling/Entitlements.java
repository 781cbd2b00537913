package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.OrganisationId;

/** The guaranteed shapes of all organisations, and what their jobs use of them. */
final class Entitlements {

  private final List<Copy> copies = new ArrayList<>();
  private final Map<OrganisationId, List<Copy>> copiesOf = new HashMap<>();

  Entitlements(List<GuaranteedShape> guarantees) {
    for (GuaranteedShape g : guarantees) {
      for (int i = 0; i < g.count(); i++) {
        Copy copy = new Copy(copies.size(), g.organisation(), g.shape());
        copies.add(copy);
        copiesOf.computeIfAbsent(g.organisation(), o -> new ArrayList<>()).add(copy);
      }
    }
  }

  /**
   * One guaranteed shape: as many slots as it has members, each with what is not yet used of it.
   */
  static final class Copy {
    final int number;
    final OrganisationId organisation;
    final Shape shape;
    final Capacity[] slots;

    private Copy(int number, OrganisationId organisation, Shape shape) {
      this.number = number;
      this.organisation = organisation;
      this.shape = shape;
      this.slots = new Capacity[shape.members()];
      Arrays.fill(slots, shape.perMember());
    }
  }

  /**
   * A part of a guaranteed shape that a job uses.
   *
   * @param copy the guaranteed shape
   * @param slot number of its slot
   * @param members how many members of the job stand in the slot
   */
  record Part(Copy copy, int slot, int members) {}

  /** Returns all guaranteed shapes. */
  List<Copy> copies() {
    return copies;
  }

  /** Returns the parts that a job would use, or empty if the guarantees left do not cover it. */
  Optional<List<Part>> cover(OrganisationId organisation, Shape shape) {
    List<Copy> own = copiesOf.getOrDefault(organisation, List.of());
    if (shape.maxRacks() == 0 || shape.members() == 1) {
      return cover(own, shape);
    }
    for (Copy copy : own) {
      if (!isAdjacentEnough(copy, shape)) {
        continue;
      }
      Optional<List<Part>> parts = cover(List.of(copy), shape);
      if (parts.isPresent()) {
        return parts;
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the parts that a running job uses: those whose home is where it runs, else any.
   *
   * @param workers worker of each member, by number
   * @param homes home of each slot, by number of the guaranteed shape
   */
  Optional<List<Part>> coverRunning(
      OrganisationId organisation, Shape shape, int[] workers, int[][] homes) {
    List<Part> parts = new ArrayList<>();
    for (int worker : workers) {
      Optional<Part> part = takeAt(organisation, shape.perMember(), worker, homes);
      if (part.isEmpty()) {
        giveBack(parts, shape.perMember());
        return cover(organisation, shape);
      }
      parts.add(part.get());
    }
    giveBack(parts, shape.perMember());
    return Optional.of(parts);
  }

  private Optional<Part> takeAt(
      OrganisationId organisation, Capacity perMember, int worker, int[][] homes) {
    for (Copy copy : copiesOf.getOrDefault(organisation, List.of())) {
      for (int slot = 0; slot < copy.slots.length; slot++) {
        if (homes[copy.number][slot] == worker && copy.slots[slot].contains(perMember)) {
          Part part = new Part(copy, slot, 1);
          use(List.of(part), perMember);
          return Optional.of(part);
        }
      }
    }
    return Optional.empty();
  }

  /** Undoes the use of parts. */
  void giveBack(List<Part> parts, Capacity perMember) {
    for (Part p : parts) {
      Capacity[] slots = p.copy().slots;
      slots[p.slot()] = slots[p.slot()].plus(perMember.times(p.members()));
    }
  }

  /** Uses the parts for a job. */
  void use(List<Part> parts, Capacity perMember) {
    for (Part p : parts) {
      Capacity[] slots = p.copy().slots;
      slots[p.slot()] = slots[p.slot()].minus(perMember.times(p.members()));
    }
  }

  private static boolean isAdjacentEnough(Copy copy, Shape shape) {
    boolean oneWorker = copy.shape.members() == 1;
    return oneWorker || (copy.shape.maxRacks() > 0 && copy.shape.maxRacks() <= shape.maxRacks());
  }

  private static Optional<List<Part>> cover(List<Copy> copies, Shape shape) {
    List<Part> parts = new ArrayList<>();
    int missing = shape.members();
    for (Copy copy : copies) {
      for (int slot = 0; slot < copy.slots.length; slot++) {
        int members = Math.min(missing, copy.slots[slot].fits(shape.perMember()));
        if (members == 0) {
          continue;
        }
        parts.add(new Part(copy, slot, members));
        missing -= members;
        if (missing == 0) {
          return Optional.of(parts);
        }
      }
    }
    return Optional.empty();
  }
}
