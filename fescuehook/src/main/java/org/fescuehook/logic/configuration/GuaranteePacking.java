package org.fescuehook.logic.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.GuaranteedShape;

/**
 * Looks for an arrangement that holds all guaranteed shapes at once. The search is a heuristic: it
 * places shapes one by one in several orders, so it may miss an arrangement of a fleet that is
 * guaranteed almost whole.
 */
final class GuaranteePacking {

  private static final Comparator<DeclaredItem<GuaranteedShape>> TIED_TO_RACKS_FIRST =
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
          TIED_TO_RACKS_FIRST.thenComparing(LARGE_SHAPES_FIRST),
          TIED_TO_RACKS_FIRST.thenComparing(LARGE_MEMBERS_FIRST).thenComparing(LARGE_SHAPES_FIRST),
          LARGE_MEMBERS_FIRST.thenComparing(TIED_TO_RACKS_FIRST).thenComparing(LARGE_SHAPES_FIRST));

  private final List<Worker> workers;

  GuaranteePacking(List<Worker> workers) {
    this.workers = workers;
  }

  /** Returns a guarantee that finds no room; empty if an arrangement was found. */
  Optional<DeclaredItem<GuaranteedShape>> firstLeft(
      List<DeclaredItem<GuaranteedShape>> guarantees) {
    Optional<DeclaredItem<GuaranteedShape>> left = Optional.empty();
    for (Comparator<DeclaredItem<GuaranteedShape>> order : ORDERS) {
      left = place(guarantees.stream().sorted(order).toList());
      if (left.isEmpty()) {
        return left;
      }
    }
    return left;
  }

  private Optional<DeclaredItem<GuaranteedShape>> place(
      List<DeclaredItem<GuaranteedShape>> guarantees) {
    RackCapacity free = new RackCapacity(workers);
    for (DeclaredItem<GuaranteedShape> guarantee : guarantees) {
      Shape shape = guarantee.value().shape();
      for (int i = 0; i < guarantee.value().count(); i++) {
        if (!free.take(shape.members(), shape.perMember(), shape.maxRacks())) {
          return Optional.of(guarantee);
        }
      }
    }
    return Optional.empty();
  }
}
