package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * Finds, from the declarations alone, jobs that can never run and guarantees that cannot be
 * satisfied together.
 */
public final class FeasibilityChecker {

  /**
   * Returns why a job can never run, or empty if it can run when the whole declared fleet is free.
   *
   * @param organisation the job's organisation
   * @param shape the job's resource requirements
   */
  public Optional<String> infeasibilityReason(
      Declarations declarations, OrganisationId organisation, Shape shape) {
    Optional<String> quota = quotaExcessReason(declarations, organisation, shape);
    if (quota.isPresent()) {
      return quota;
    }
    FleetIndex index = new FleetIndex(declarations.fleet());
    GangPlacer placer = new GangPlacer(index);
    WorkerCapacities allCapacity = index.capacity();
    boolean[] avoid = new boolean[index.workerCount()];
    if (placer.fits(shape, allCapacity, avoid)) {
      return Optional.empty();
    }
    Shape member = new Shape(1, shape.perMember(), 0);
    if (!placer.fits(member, allCapacity, avoid)) {
      return Optional.of("no declared worker is large enough for one member");
    }
    Shape anywhere = new Shape(shape.members(), shape.perMember(), 0);
    if (!placer.fits(anywhere, allCapacity, avoid)) {
      return Optional.of("the declared fleet holds fewer than " + shape.members() + " members");
    }
    return Optional.of(
        "no " + shape.maxRacks() + " declared racks hold " + shape.members() + " members");
  }

  /**
   * Returns the names of the guarantees that do not fit on the declared fleet together with the
   * others; empty if all guarantees fit at the same time.
   */
  public List<String> infeasibleGuarantees(Declarations declarations) {
    FleetIndex index = new FleetIndex(declarations.fleet());
    ReservedPlacements placements = ReservedPlacements.find(index, declarations.guarantees());
    List<String> names = new ArrayList<>();
    int instance = 0;
    for (var g : declarations.guarantees()) {
      boolean satisfiable = true;
      for (int i = 0; i < g.count(); i++) {
        satisfiable &= placements.isPlaced(placements.instances().get(instance++));
      }
      if (!satisfiable) {
        names.add(g.name());
      }
    }
    return names;
  }

  private static Optional<String> quotaExcessReason(
      Declarations declarations, OrganisationId organisation, Shape shape) {
    for (Organisation o : declarations.organisations()) {
      if (o.id().equals(organisation) && shape.accelerators() > o.quotaAccelerators()) {
        return Optional.of(
            "needs "
                + shape.accelerators()
                + " accelerators; the quota of "
                + organisation
                + " is "
                + o.quotaAccelerators());
      }
    }
    return Optional.empty();
  }
}
