package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
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
   * Callers come from the first moment of the outage, before the owner notices it: some are refused
   * when their jobs turn out not to be stored, and some jobs are stored late.
   */
  @ParameterizedTest
  @ValueSource(longs = {4000, 6000, 12_000})
  void aCallerThatComesBeforeTheOutageIsNoticedDoesNotUseUpItsTries(long outageMillis) {
    outage(outageMillis);
    for (int i = 0; i < CALLERS; i++) {
      cluster.in(3000L * i / CALLERS, this::submit);
    }
    cluster.run(40_000);
    for (RetryingCallers.Caller caller : callers.callers()) {
      boolean stored =
          cluster
              .status(caller.call.job())
              .filter(answer -> answer instanceof CallAnswer.Phase)
              .isPresent();
      assertTrue(stored, () -> caller.call.job() + " lost after " + caller.refusals);
      assertTrue(caller.tries <= 5);
    }
    assertTrue(
        callers.busiestSecond() <= CALLERS * MAX_SHARE,
        () -> "returns by second: " + callers.returnsBySecond());
  }

  /** Guards against a VM that is not the owner and tells all callers to return after a second. */
  @Test
  void aVmThatIsNotTheOwnerSpreadsItsCallersToo() {
    cluster.awaitOwner();
    VmId owner = cluster.owner().orElseThrow().id;
    BatchCluster.Vm other =
        cluster.vms.values().stream().filter(vm -> !vm.id.equals(owner)).findFirst().orElseThrow();
    List<Long> delays = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      BatchCall call =
          new BatchCall.Submit(
              BatchCluster.NORMAL,
              BatchCluster.KEY,
              "%016x".formatted(i),
              Jobs.of(Jobs.tasks(1, 1, 500)));
      long ticket = 1_000_000L + i;
      other.deliver(new BatchEvent.Called(ticket, call, BatchCluster.CALLER_TIMEOUT));
      delays.add(
          assertInstanceOf(CallAnswer.Refused.class, cluster.answers.get(ticket))
              .retryAfterMillis());
    }
    assertEquals(Set.of(1000L, 2000L, 3000L, 4000L), Set.copyOf(delays));
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
