package org.fescuehook.logic.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * Checks that the fleet can hold every guaranteed shape on its own, and all of them at the same
 * time.
 */
final class GuaranteeChecks {

  private final DeclaredItems items;
  private final List<Worker> workers;
  private final List<Fault> faults = new ArrayList<>();

  GuaranteeChecks(DeclaredItems items) {
    this.items = items;
    this.workers = items.workers().stream().map(DeclaredItem::value).toList();
  }

  /** Returns the faults. */
  List<Fault> faults() {
    items.guarantees().forEach(this::checkFitsAlone);
    checkQuotas();
    checkFitsInTotal();
    if (faults.isEmpty()) {
      checkFitTogether();
    }
    return faults;
  }

  private void checkFitsAlone(DeclaredItem<GuaranteedShape> guarantee) {
    Shape shape = guarantee.value().shape();
    RackCapacity racks = new RackCapacity(workers);
    if (racks.largestFit(shape.perMember(), 0) == 0) {
      faults.add(
          guarantee.fault(
              "no worker can hold a member of " + Descriptions.capacity(shape.perMember()),
              "a member of at most " + Descriptions.capacity(largestWorker())));
      return;
    }
    int fit = racks.largestFit(shape.perMember(), shape.maxRacks());
    if (fit >= shape.members()) {
      return;
    }
    String racksUsed =
        switch (shape.maxRacks()) {
          case 0 -> "the fleet";
          case 1 -> "the largest rack";
          default -> "the largest " + shape.maxRacks() + " racks";
        };
    String problem =
        "needs %s at once; %s can hold %d"
            .formatted(Descriptions.plural(shape.members(), "member"), racksUsed, fit);
    String accepted = "members of at most " + fit;
    if (shape.maxRacks() > 0) {
      accepted += ", or a larger max-racks";
    }
    faults.add(guarantee.fault(DeclarationKeys.MEMBERS, problem, accepted));
  }

  private Capacity largestWorker() {
    return workers.stream()
        .map(Worker::capacity)
        .max((a, b) -> Integer.compare(a.accelerators(), b.accelerators()))
        .orElse(Capacity.NONE);
  }

  private void checkQuotas() {
    for (DeclaredItem<Organisation> organisation : items.organisations()) {
      long needed = guaranteedAccelerators(organisation.value().id());
      if (needed > organisation.value().quotaAccelerators()) {
        faults.add(
            organisation.fault(
                DeclarationKeys.QUOTA_ACCELERATORS,
                "is below the %d accelerators that it is guaranteed".formatted(needed),
                "a whole number of at least " + needed));
      }
    }
  }

  private long guaranteedAccelerators(OrganisationId holder) {
    return Total.ofGuarantees(
            items.guarantees().stream()
                .map(DeclaredItem::value)
                .filter(guarantee -> guarantee.organisation().equals(holder))
                .toList())
        .accelerators();
  }

  private void checkFitsInTotal() {
    Total fleet = Total.ofWorkers(workers);
    Total sum = Total.NONE;
    for (DeclaredItem<GuaranteedShape> guarantee : items.guarantees()) {
      Total before = sum;
      sum = sum.plus(guarantee.value());
      if (fleet.contains(before) && !fleet.contains(sum)) {
        String problem =
            "with the guarantees before it, %s are guaranteed; the fleet has %s"
                .formatted(sum.describe(), fleet.describe());
        faults.add(guarantee.fault(problem, "guarantees within the fleet in sum"));
      }
    }
  }

  private void checkFitTogether() {
    Optional<DeclaredItem<GuaranteedShape>> unplaced =
        new GuaranteePacking(workers).firstUnplaced(items.guarantees());
    unplaced.ifPresent(
        guarantee ->
            faults.add(
                guarantee.fault(
                    "no arrangement was found that holds it beside all other guaranteed shapes,"
                        + " although the fleet has enough in sum",
                    "fewer or smaller shapes, a larger max-racks, or more workers in a rack")));
  }
}
