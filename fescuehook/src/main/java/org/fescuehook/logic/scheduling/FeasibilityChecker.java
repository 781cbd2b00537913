package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;

/** Finds jobs that can never run and guarantees that can never be kept, from declarations alone. */
public final class FeasibilityChecker {

  /**
   * Returns why a job can never run, or empty if it can when the whole declared fleet is free.
   *
   * @param organisation the job's organisation
   * @param shape what the job needs
   */
  public Optional<String> whyNever(
      Declarations declarations, OrganisationId organisation, Shape shape) {
    Optional<String> quota = whyAboveQuota(declarations, organisation, shape);
    if (quota.isPresent()) {
      return quota;
    }
    FleetIndex index = new FleetIndex(declarations.fleet());
    GangPlacer placer = new GangPlacer(index);
    WorkerCapacities all = index.capacity();
    boolean[] avoid = new boolean[index.workerCount()];
    if (placer.fits(shape, all, avoid)) {
      return Optional.empty();
    }
    Shape member = new Shape(1, shape.perMember(), 0);
    if (!placer.fits(member, all, avoid)) {
      return Optional.of("no declared worker is large enough for one member");
    }
    Shape anywhere = new Shape(shape.members(), shape.perMember(), 0);
    if (!placer.fits(anywhere, all, avoid)) {
      return Optional.of("the declared fleet holds fewer than " + shape.members() + " members");
    }
    return Optional.of(
        "no " + shape.maxRacks() + " declared racks hold " + shape.members() + " members");
  }

  /**
   * Returns the names of guarantees that cannot all stand on the declared fleet at one time; empty
   * if every guarantee can be kept.
   */
  public List<String> unkeepableGuarantees(Declarations declarations) {
    FleetIndex index = new FleetIndex(declarations.fleet());
    ReservedPlacements homes = ReservedPlacements.find(index, declarations.guarantees());
    List<String> names = new ArrayList<>();
    int copy = 0;
    for (var g : declarations.guarantees()) {
      boolean kept = true;
      for (int i = 0; i < g.count(); i++) {
        kept &= homes.hasHome(homes.copies().get(copy++));
      }
      if (!kept) {
        names.add(g.name());
      }
    }
    return names;
  }

  private static Optional<String> whyAboveQuota(
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
