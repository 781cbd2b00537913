package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.junit.jupiter.api.Test;

/**
 * Guards against starts in a failure domain that operators evacuate. {@link ClusterEvacuations}
 * checks each start order as well.
 */
class EvacuationTest {

  private static final Optional<CallAnswer> COMPLETED =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));

  private static final FailureDomain KEPT = new FailureDomain("a");
  private static final FailureDomain EVACUATED = new FailureDomain("b");

  private final BatchCluster cluster = new BatchCluster(2, 0, 1);

  EvacuationTest() {
    for (int i = 0; i < 4; i++) {
      addExecutor("kept-" + i, "r0", KEPT);
      addExecutor("evacuated-" + i, "r1", EVACUATED);
    }
  }

  private void addExecutor(String name, String rack, FailureDomain domain) {
    cluster.addExecutor(TestFixtures.inDomain(TestFixtures.executor(name, rack), domain));
  }

  /** Waits until an owner decides that knows of the evacuation. */
  private void beginEvacuated() {
    cluster.awaitOwner();
    cluster.evacuations.evacuate(EVACUATED);
    cluster.run(500);
  }

  private void keepOnly(String... names) {
    Set<String> kept = Set.of(names);
    cluster.executors.keySet().removeIf(id -> !kept.contains(id.value()));
  }

  private int placements() {
    return cluster.notes(BatchLogEvent.RUN_PLACED).size();
  }

  private long runningIn(FailureDomain domain) {
    return cluster.executors.values().stream()
        .filter(executor -> executor.profile().domain().equals(domain))
        .mapToLong(executor -> executor.running().size())
        .sum();
  }

  @Test
  void noTaskStartsInAnEvacuatedFailureDomain() {
    beginEvacuated();
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(40, 1, 3000)));
    cluster.run(1000);
    assertEquals(0, runningIn(EVACUATED));
    assertEquals(32, runningIn(KEPT));
  }

  /** A VM that starts does not know yet what is evacuated. */
  @Test
  void aVmDoesNotDecideBeforeItKnowsWhatIsEvacuated() {
    cluster.faults.dropped = (vm, event) -> event instanceof BatchEvent.EvacuationsRead;
    cluster.run(10_000);
    assertTrue(cluster.owner().isEmpty());
    cluster.faults.dropped = ClusterFaults.NOTHING_DROPPED;
    cluster
        .vms
        .values()
        .forEach(
            vm -> vm.deliver(new BatchEvent.EvacuationsRead(Set.of(), 0, OptionalLong.empty())));
    cluster.awaitOwner();
  }

  @Test
  void aNewOwnerRespectsAnEvacuationThatBeganBeforeIt() {
    beginEvacuated();
    cluster.restart(cluster.owner().orElseThrow().id, 2000);
    cluster.run(500);
    cluster.awaitOwner();
    cluster.run(500);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(40, 1, 3000)));
    cluster.run(1000);
    assertEquals(0, runningIn(EVACUATED));
    assertEquals(32, runningIn(KEPT));
  }

  @Test
  void aVmThatMissedTheEndOfAnEvacuationUsesTheDomainOnceItReachesTheStore() {
    beginEvacuated();
    cluster.faults.storeDown = true;
    cluster.run(1000);
    cluster.evacuations.giveBack(EVACUATED);
    cluster.run(1000);
    cluster.faults.storeDown = false;
    cluster.run(3000);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(64, 1, 3000)));
    cluster.run(1000);
    assertEquals(32, runningIn(EVACUATED));
  }

  @Test
  void runsThatAreUnderWayInAnEvacuatedFailureDomainContinue() {
    cluster.awaitOwner();
    cluster.run(500);
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(64, 1, 3000)));
    cluster.runUntil("the starts", 1000, () -> cluster.work.starts().size() == 64);
    cluster.evacuations.evacuate(EVACUATED);
    cluster.runUntil("the end", 5000, () -> cluster.status(job).equals(COMPLETED));
    assertEquals(64, cluster.work.starts().size());
    assertEquals(List.of(), cluster.notes(BatchLogEvent.RUN_STOPPING));
  }

  /** A slow store takes seconds to store the placement. */
  @Test
  void aPlacementThatWasNotStartedIsPlannedElsewhereAtOnce() {
    keepOnly("kept-0", "evacuated-0");
    cluster.awaitOwner();
    cluster.run(500);
    cluster.faults.appendMillis = 1500;
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(2, 8, 1000)));
    cluster.runUntil("the placements", 4000, () -> placements() == 2);
    cluster.evacuations.evacuate(EVACUATED);
    cluster.run(1000);
    cluster.faults.appendMillis = 0;
    cluster.runUntil("both starts", 8000, () -> cluster.work.starts().size() == 2);
    assertEquals(1, runningIn(KEPT));
    assertEquals(0, runningIn(EVACUATED));
  }

  @Test
  void aGangThatWasNotStartedIsGivenUpWhole() {
    keepOnly("kept-0", "evacuated-0");
    cluster.awaitOwner();
    cluster.run(500);
    cluster.faults.appendMillis = 1500;
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(2, 8, 1000)));
    cluster.runUntil("the placements", 4000, () -> placements() == 2);
    cluster.evacuations.evacuate(EVACUATED);
    cluster.run(7000);
    assertEquals(0, cluster.work.starts().size());
    cluster.faults.appendMillis = 0;
    cluster.evacuations.giveBack(EVACUATED);
    cluster.runUntil("the end", 8000, () -> cluster.status(job).equals(COMPLETED));
    assertEquals(2, cluster.work.starts().size());
  }

  /** The executor is silent, so the first order may have been carried out or not. */
  @Test
  void aStartWithoutAnAnswerIsNotOrderedAgain() {
    keepOnly("evacuated-0");
    cluster.awaitOwner();
    cluster.run(500);
    ExecutorId silent = new ExecutorId("evacuated-0");
    cluster.faults.silent.add(silent);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 8, 1000)));
    cluster.runUntil("the order", 500, () -> cluster.orders.starts() == 1);
    cluster.evacuations.evacuate(EVACUATED);
    cluster.run(4000);
    assertEquals(1, cluster.orders.starts());
    cluster.faults.silent.clear();
    cluster.evacuations.giveBack(EVACUATED);
    cluster.runUntil("the next order", 10_000, () -> cluster.orders.starts() == 2);
  }

  /** Work that is not urgent leaves a share of the accelerators free: of those that can be used. */
  @Test
  void theRestOfTheFleetIsWhatCountsForCapacityKeptFree() {
    beginEvacuated();
    cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(64, 1, 3000)));
    cluster.run(1000);
    assertEquals(20, runningIn(KEPT));
  }

  @Test
  void aJobThatFitsOnlyWithTheEvacuatedDomainWaitsForItAndSaysSo() {
    beginEvacuated();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(8, 8, 1000)));
    cluster.run(30_000);
    assertEquals(List.of(), cluster.work.starts());
    List<BatchCommand.Note> notes = cluster.notes(BatchLogEvent.WAITS_FOR_EVACUATED_DOMAIN);
    assertEquals(
        List.of(List.of(job, 0, 8)), notes.stream().map(BatchCommand.Note::arguments).toList());
    cluster.evacuations.giveBack(EVACUATED);
    cluster.runUntil("the start", 300, () -> cluster.work.starts().size() == 8);
    cluster.runUntil("the end", 3000, () -> cluster.status(job).equals(COMPLETED));
  }

  @Test
  void aFailureDomainThatIsGivenBackIsUsedAtOnce() {
    beginEvacuated();
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(64, 1, 3000)));
    cluster.run(1000);
    assertEquals(32, placements());
    cluster.evacuations.giveBack(EVACUATED);
    cluster.run(100);
    assertEquals(64, placements());
  }

  @Test
  void anExecutorThatJoinsAnEvacuatedFailureDomainIsNotUsed() {
    keepOnly("kept-0");
    beginEvacuated();
    assertEquals(1, cluster.notes(BatchLogEvent.EVACUATED_DOMAIN_UNKNOWN).size());
    addExecutor("evacuated-9", "r1", EVACUATED);
    cluster.run(500);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(16, 1, 3000)));
    cluster.run(1000);
    assertEquals(0, runningIn(EVACUATED));
    assertEquals(8, runningIn(KEPT));
  }
}
