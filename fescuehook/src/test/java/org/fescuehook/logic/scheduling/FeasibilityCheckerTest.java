package org.fescuehook.logic.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;
import org.junit.jupiter.api.Test;

/** Two racks of two workers with four accelerators each. */
class FeasibilityCheckerTest {

  private static final OrganisationId BIO = new OrganisationId("bio");

  private final FeasibilityChecker checker = new FeasibilityChecker();

  @Test
  void acceptsAShapeThatFitsTheEmptyFleet() {
    assertEquals(Optional.empty(), reason(shape(2, 4, 1)));
  }

  @Test
  void namesTheReasonWhyAShapeCanNeverRun() {
    assertEquals(
        Optional.of("no declared worker is large enough for one member"), reason(shape(1, 5, 0)));
    assertEquals(Optional.of("no 1 declared racks hold 3 members"), reason(shape(3, 4, 1)));
    assertEquals(
        Optional.of("the declared fleet holds fewer than 9 members"), reason(shape(9, 2, 0)));
    assertEquals(
        Optional.of("needs 20 accelerators; the quota of bio is 18"), reason(shape(10, 2, 0)));
  }

  @Test
  void namesGuaranteesThatDoNotFitTogether() {
    GuaranteedShape rackWide = new GuaranteedShape("racks", BIO, shape(2, 4, 1), 2);
    GuaranteedShape more = new GuaranteedShape("more", BIO, shape(1, 1, 0), 1);

    assertEquals(List.of(), checker.infeasibleGuarantees(declarations(List.of(rackWide))));
    assertEquals(
        List.of("more"), checker.infeasibleGuarantees(declarations(List.of(rackWide, more))));
  }

  private Optional<String> reason(Shape shape) {
    return checker.infeasibilityReason(declarations(List.of()), BIO, shape);
  }

  private static Shape shape(int members, int accelerators, int maxRacks) {
    return new Shape(members, new Capacity(accelerators, 1, 1), maxRacks);
  }

  private static Declarations declarations(List<GuaranteedShape> guarantees) {
    return new Declarations(
        List.of(new Organisation(BIO, 1, 18, 1)),
        guarantees,
        List.of(),
        new Fleet(
            List.of(worker(1, "a"), worker(2, "a"), worker(3, "b"), worker(4, "b")), List.of()),
        PolicyPreferences.DEFAULT);
  }

  private static Worker worker(int number, String rack) {
    return new Worker(
        new WorkerId("w" + number),
        InetSocketAddress.createUnresolved("test", 1),
        new FailureDomain("d"),
        new RackId(rack),
        new Capacity(4, 16, 100));
  }
}
