package org.fescuehook.logic.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.GuaranteedShape;

/**
 * Searches for a placement of all guaranteed shapes at the same time. The search is a heuristic: it
 * places the shapes one by one, in several orders. It may therefore miss a placement if almost the
 * whole fleet is guaranteed.
 */
final class GuaranteePacking {

  private static final Comparator<DeclaredItem<GuaranteedShape>> FEWEST_RACKS_FIRST =
      Comparator.comparingInt(
          guarantee -> {
            int racks = guarantee.value().shape().maxRacks();
            return racks == 0 ? Integer.MAX_VALUE : racks;
          });
  private static final Comparator<DeclaredItem<GuaranteedShape>> LARGE_MEMBERS_FIRST =
      Comparator.comparingInt(guarantee -> -guarantee.value().shape().perMember().accelerators());
  private static final Comparator<DeclaredItem<GuaranteedShape>> LARGE_SHAPES_FIRST =
      Comparator.comparingInt(guarantee -> -guarantee.value().shape().accelerators());

  private static final List<Comparator<DeclaredItem<GuaranteedShape>>> ORDERS =
      List.of(
          FEWEST_RACKS_FIRST.thenComparing(LARGE_SHAPES_FIRST),
          FEWEST_RACKS_FIRST.thenComparing(LARGE_MEMBERS_FIRST).thenComparing(LARGE_SHAPES_FIRST),
          LARGE_MEMBERS_FIRST.thenComparing(FEWEST_RACKS_FIRST).thenComparing(LARGE_SHAPES_FIRST));

  private final List<Worker> workers;

  GuaranteePacking(List<Worker> workers) {
    this.workers = workers;
  }

  /** Returns a guarantee that could not be placed; empty if all were placed. */
  Optional<DeclaredItem<GuaranteedShape>> firstUnplaced(
      List<DeclaredItem<GuaranteedShape>> guarantees) {
    Optional<DeclaredItem<GuaranteedShape>> unplaced = Optional.empty();
    for (Comparator<DeclaredItem<GuaranteedShape>> order : ORDERS) {
      unplaced = place(guarantees.stream().sorted(order).toList());
      if (unplaced.isEmpty()) {
        return unplaced;
      }
    }
    return unplaced;
  }

  private Optional<DeclaredItem<GuaranteedShape>> place(
      List<DeclaredItem<GuaranteedShape>> guarantees) {
    RackCapacity free = new RackCapacity(workers);
    for (DeclaredItem<GuaranteedShape> guarantee : guarantees) {
      Shape shape = guarantee.value().shape();
      for (int i = 0; i < guarantee.value().count(); i++) {
        if (!free.allocate(shape.members(), shape.perMember(), shape.maxRacks())) {
          return Optional.of(guarantee);
        }
      }
    }
    return Optional.empty();
  }
}
