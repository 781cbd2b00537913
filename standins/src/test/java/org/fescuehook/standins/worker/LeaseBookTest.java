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

class LeaseBookTest {
  private static final Resources TWO = new Resources(2, 4, 1024);

  private final List<WorkerEvent> events = new ArrayList<>();
  private final LeaseBook book =
      new LeaseBook("worker-1", "a", new Resources(4, 64, 4096), events::add);

  @Test
  void leaseThatIsNotRenewedLapsesWithItsTaskAndFreesItsResources() {
    Lease lease = grant(0, "j.1/0");
    book.start(0, lease, "j", TaskCommand.parse("forever"));
    grant(0, "j.1/1");

    assertTrue(book.grant(99, "k.1/0", TWO, 100).isEmpty());
    assertTrue(book.grant(100, "k.1/0", TWO, 100).isPresent());

    assertTrue(book.find(100, lease.id).isEmpty());
    assertEquals(Kind.LAPSED, events.get(4).kind());
  }

  @Test
  void shorterRenewalBringsTheLapseForward() {
    Lease lease = grant(0, "j.1/0");
    book.renew(10, lease, 20);

    assertTrue(book.find(30, lease.id).isEmpty());
  }

  @Test
  void leaseIdIsNeverUsedAgainWhenTheKeyRepeats() {
    Lease first = grant(0, "j.1/0");
    book.release(0, first);

    assertNotEquals(first.id, grant(0, "j.1/0").id);
  }

  @Test
  void taskEndsWithItsExitCodeAndKeepsItsLease() {
    Lease lease = grant(0, "j.1/0");
    book.start(10, lease, "j", TaskCommand.parse("run:50:exit=3"));

    book.expire(59);
    assertEquals(LeaseState.RUNNING, lease.state);
    book.expire(60);

    assertEquals(LeaseState.FAILED, book.find(60, lease.id).orElseThrow().state);
    assertEquals(3, lease.exitCode);
  }

  @Test
  void auditFindsTwoAttemptsOfAJobThatRanAtATime() {
    book.start(1, grant(0, "j.1/0"), "j", TaskCommand.parse("forever"));
    book.start(2, grant(0, "j.2/0"), "j", TaskCommand.parse("forever"));

    List<Finding> findings = GangAudit.check(events, 4, 0);

    assertEquals(List.of(Fault.DOUBLED), findings.stream().map(Finding::fault).toList());
  }

  @Test
  void auditFindsAGangThatRanInPartForTooLong() {
    Lease first = grant(0, "j.1/0");
    Lease second = grant(0, "j.1/1");
    book.start(10, first, "j", TaskCommand.parse("forever"));
    book.start(20, second, "j", TaskCommand.parse("forever"));
    book.release(50, second);
    book.release(90, first);

    assertEquals(List.of(), GangAudit.check(events, 4, 40));
    assertEquals(
        List.of(new Finding(Fault.PARTIAL, "j.1", 50, "40 ms")), GangAudit.check(events, 4, 39));
  }

  @Test
  void auditFindsAWorkerThatHeldMoreThanItHas() {
    List<WorkerEvent> forged =
        List.of(
            new WorkerEvent(0, "w", WorkerEvent.Kind.GRANTED, "a", "j.1/0", "", 3),
            new WorkerEvent(7, "w", WorkerEvent.Kind.GRANTED, "b", "j.2/0", "", 2));

    assertEquals(List.of(), GangAudit.check(forged, 5, 0));
    assertEquals(
        List.of(new Finding(Fault.OVERBOOKED, "w", 7, "5 held")), GangAudit.check(forged, 4, 0));
  }

  private Lease grant(long now, String key) {
    return book.grant(now, key, TWO, 100).orElseThrow();
  }
}
