package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * 500 callers retry after an outage of the store. Guards against callers who use up their five
 * tries during the outage, and against their return in the same second.
 */
class RetriesAfterOutageTest {

  private static final int CALLERS = 500;

  /** Share of the callers that may return in one second. */
  private static final double MAX_SHARE = 0.25;

  /**
   * The same share if the owner is lost: VMs that are not the owner do not know when the callers
   * return whom it refused.
   */
  private static final double MAX_SHARE_IN_TAKEOVER = 0.34;

  private final BatchCluster cluster =
      new BatchCluster(3, 24, 1, TestFixtures.configuration(), TestFixtures.BACKLOG_ADMISSION);
  private final RetryingCallers callers = new RetryingCallers(cluster, true);

  private void submit() {
    callers.submit(BatchCluster.NORMAL, BatchCluster.KEY, Jobs.of(Jobs.tasks(1, 1, 500)));
  }

  private void outage(long millis) {
    cluster.awaitOwner();
    cluster.run(6000);
    cluster.faults.storeDown = true;
    cluster.in(millis, () -> cluster.faults.storeDown = false);
  }

  private void assertServed(double maxShare) {
    assertEquals(CALLERS, callers.accepted());
    int tries = callers.callers().stream().mapToInt(caller -> caller.tries).max().orElse(0);
    assertTrue(tries <= 5, () -> tries + " tries");
    assertTrue(
        callers.busiestSecond() <= CALLERS * maxShare,
        () -> "returns by second: " + callers.returnsBySecond());
  }

  /** All callers are refused within 50 ms, early in the outage. */
  @ParameterizedTest
  @ValueSource(longs = {4000, 6000, 12_000})
  void callersRefusedTogetherReturnInDifferentSecondsAndAreAllAccepted(long outageMillis) {
    outage(outageMillis);
    cluster.run(1500);
    for (int i = 0; i < CALLERS; i++) {
      cluster.in(i / 10, this::submit);
    }
    cluster.run(30_000);
    assertServed(MAX_SHARE);
  }

  /** Callers come throughout the outage. */
  @ParameterizedTest
  @ValueSource(longs = {6000, 12_000})
  void callersRefusedOneAfterTheOtherAreAllAccepted(long outageMillis) {
    outage(outageMillis);
    cluster.run(1500);
    for (int i = 0; i < CALLERS; i++) {
      cluster.in((outageMillis - 2000) * i / CALLERS, this::submit);
    }
    cluster.run(40_000);
    assertServed(MAX_SHARE);
  }

  /**
   * The owner is lost with what it remembers of refused callers. They count as new at the next one,
   * whose refusals still leave them tries enough.
   */
  @Test
  void callersAreAcceptedThoughTheOwnerThatRefusedThemIsLost() {
    outage(6000);
    cluster.run(1500);
    VmId former = cluster.owner().orElseThrow().id;
    for (int i = 0; i < CALLERS; i++) {
      cluster.in(i / 10, this::submit);
    }
    cluster.in(2000, () -> cluster.vms.get(former).running = false);
    cluster.run(40_000);
    assertTrue(cluster.ownershipsWon() > 1);
    assertServed(MAX_SHARE_IN_TAKEOVER);
  }

  /** A refused submission leaves no trace in the store. */
  @Test
  void aRefusedSubmissionIsNotStored() {
    outage(6000);
    cluster.run(1500);
    RetryingCallers.Caller caller =
        callers.submit(BatchCluster.NORMAL, BatchCluster.KEY, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.run(50);
    assertEquals(1, caller.refusals.size());
    cluster.vms.values().forEach(vm -> vm.running = false);
    cluster.faults.storeDown = false;
    cluster.run(2000);
    assertEquals(
        Optional.empty(),
        cluster.store.newest(StreamName.STATE).stream()
            .filter(record -> record.key().contains(caller.call.job()))
            .findFirst());
  }
}
