package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pattern: the store was slow or silent, or VMs were frozen, and it is quick again when the owner
 * dies. Leases of 6 s run on while nobody decides, so the next owner has to decide as soon as in a
 * store that was quick all the while.
 */
class DeadOwnerAfterSlownessTest {

  private static final long SLOW_MILLIS = 20_000;

  /** As long as four heartbeats, each of which shows that the store is quick again. */
  private static final long QUICK_MILLIS = 2000;

  /**
   * A silence of 2 s, a read with its pause and its wait, and 0.6 s for claim, epoch and pages; the
   * first renewals still fit into a lease of 6 s.
   */
  private static final long DECIDES_AGAIN_MILLIS = 4000;

  private final BatchCluster cluster = new BatchCluster(8, 20, 1);

  private void storeTakes(long millis) {
    cluster.faults.storeDelay = millis;
    cluster.faults.appendMillis = millis;
  }

  private void killOwner() {
    cluster.owner().orElseThrow().running = false;
    long from = cluster.nowMillis();
    cluster.runUntil("an owner", 20_000, () -> cluster.owner().isPresent());
    long took = cluster.nowMillis() - from;
    assertTrue(took <= DECIDES_AGAIN_MILLIS, () -> "the next owner decided after " + took + " ms");
  }

  @Test
  void aDeadOwnerIsReplacedInAQuickStore() {
    cluster.awaitOwner();
    cluster.run(QUICK_MILLIS);
    killOwner();
  }

  @ParameterizedTest
  @ValueSource(longs = {300, 500, 900, 2000})
  void aDeadOwnerIsReplacedOnceTheStoreIsQuickAgain(long answerMillis) {
    cluster.awaitOwner();
    storeTakes(answerMillis);
    cluster.run(SLOW_MILLIS);
    storeTakes(4);
    cluster.runUntil("an owner", 20_000, () -> cluster.owner().isPresent());
    // What is under way when the store turns quick still takes its time.
    cluster.run(2 * answerMillis + QUICK_MILLIS);
    killOwner();
  }

  @Test
  void aDeadOwnerIsReplacedAfterAnOutageOfTheStore() {
    cluster.awaitOwner();
    cluster.run(2000);
    cluster.faults.storeDown = true;
    cluster.run(8000);
    cluster.faults.storeDown = false;
    cluster.run(QUICK_MILLIS);
    killOwner();
  }

  /** The others were frozen, and the store was quick all the while. */
  @Test
  void aDeadOwnerIsReplacedByVmsThatWereFrozen() {
    cluster.awaitOwner();
    cluster.run(2000);
    VmId owner = cluster.owner().orElseThrow().id;
    List<BatchCluster.Vm> others =
        cluster.vms.values().stream().filter(vm -> !vm.id.equals(owner)).toList();
    others.forEach(vm -> vm.frozen = true);
    cluster.run(5000);
    others.forEach(BatchCluster.Vm::thaw);
    cluster.run(QUICK_MILLIS);
    killOwner();
  }

  /** The owner was frozen for less than the silence that others bear. */
  @Test
  void aDeadOwnerIsReplacedThatWasFrozenBefore() {
    cluster.awaitOwner();
    cluster.run(2000);
    BatchCluster.Vm owner = cluster.owner().orElseThrow();
    owner.frozen = true;
    cluster.run(1400);
    owner.thaw();
    cluster.run(QUICK_MILLIS);
    killOwner();
  }
}
