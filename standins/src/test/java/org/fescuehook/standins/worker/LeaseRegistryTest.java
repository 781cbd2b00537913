package org.fescuehook.standins.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.standins.worker.GangAudit.Fault;
import org.fescuehook.standins.worker.GangAudit.Finding;
import org.fescuehook.standins.worker.WorkerEvent.Kind;
import org.junit.jupiter.api.Test;

class LeaseRegistryTest {
  private static final Resources TWO = new Resources(2, 4, 1024);

  private final List<WorkerEvent> events = new ArrayList<>();
  private final LeaseRegistry registry =
      new LeaseRegistry("worker-1", "a", new Resources(4, 64, 4096), events::add);

  @Test
  void anUnrenewedLeaseExpiresAndFreesItsResources() {
    Lease lease = grant(0, "j.1/0");
    registry.start(0, lease, "j", TaskCommand.parse("forever"));
    grant(0, "j.1/1");

    assertTrue(registry.grant(99, "k.1/0", TWO, 100).isEmpty());
    assertTrue(registry.grant(100, "k.1/0", TWO, 100).isPresent());

    assertTrue(registry.find(100, lease.id).isEmpty());
    assertEquals(Kind.LAPSED, events.get(4).kind());
  }

  @Test
  void aShorterRenewalMovesTheExpiryForward() {
    Lease lease = grant(0, "j.1/0");
    registry.renew(10, lease, 20);

    assertTrue(registry.find(30, lease.id).isEmpty());
  }

  @Test
  void aRepeatedKeyGetsANewLeaseId() {
    Lease first = grant(0, "j.1/0");
    registry.release(0, first);

    assertNotEquals(first.id, grant(0, "j.1/0").id);
  }

  @Test
  void aTaskEndsWithItsExitCodeAndItsLeaseStays() {
    Lease lease = grant(0, "j.1/0");
    registry.start(10, lease, "j", TaskCommand.parse("run:50:exit=3"));

    registry.expire(59);
    assertEquals(LeaseState.RUNNING, lease.state);
    registry.expire(60);

    assertEquals(LeaseState.FAILED, registry.find(60, lease.id).orElseThrow().state);
    assertEquals(3, lease.exitCode);
  }

  @Test
  void auditFindsConcurrentAttemptsOfAJob() {
    registry.start(1, grant(0, "j.1/0"), "j", TaskCommand.parse("forever"));
    registry.start(2, grant(0, "j.2/0"), "j", TaskCommand.parse("forever"));

    List<Finding> findings = GangAudit.check(events, 4, 0);

    assertEquals(List.of(Fault.DOUBLED), findings.stream().map(Finding::fault).toList());
  }

  @Test
  void auditFindsAGangThatRanPartiallyForTooLong() {
    Lease first = grant(0, "j.1/0");
    Lease second = grant(0, "j.1/1");
    registry.start(10, first, "j", TaskCommand.parse("forever"));
    registry.start(20, second, "j", TaskCommand.parse("forever"));
    registry.release(50, second);
    registry.release(90, first);

    assertEquals(List.of(), GangAudit.check(events, 4, 40));
    assertEquals(
        List.of(new Finding(Fault.PARTIAL, "j.1", 50, "40 ms")), GangAudit.check(events, 4, 39));
  }

  @Test
  void auditFindsAnOverbookedWorker() {
    List<WorkerEvent> forged =
        List.of(
            new WorkerEvent(0, "w", WorkerEvent.Kind.GRANTED, "a", "j.1/0", "", 3),
            new WorkerEvent(7, "w", WorkerEvent.Kind.GRANTED, "b", "j.2/0", "", 2));

    assertEquals(List.of(), GangAudit.check(forged, 5, 0));
    assertEquals(
        List.of(new Finding(Fault.OVERBOOKED, "w", 7, "5 held")), GangAudit.check(forged, 4, 0));
  }

  private Lease grant(long now, String key) {
    return registry.grant(now, key, TWO, 100).orElseThrow();
  }
}
