package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a late takeover when the owner dies after the store was slow or unavailable, or
 * VMs were frozen, and the store is fast again. Leases of 6 s keep running while no VM decides, so
 * the next owner has to decide as soon as in a store that was fast all the time.
 */
class DeadOwnerAfterSlownessTest {

  private static final long SLOW_MILLIS = 20_000;

  /** Duration of four heartbeats, each of which shows that the store is fast again. */
  private static final long QUICK_MILLIS = 2000;

  /**
   * A silence of 2 s, a read of ownership with its pause and its wait, and 0.6 s for the claim, the
   * epoch and the pages of jobs. The first lease renewals then still fit into a lease of 6 s.
   */
  private static final long DECIDES_AGAIN_MILLIS = 4000;

  private final BatchCluster cluster = new BatchCluster(8, 20, 1);

  private void storeTakes(long millis) {
    cluster.faults.storeDelayMillis = millis;
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
    // Requests that are pending when the store becomes fast still take as long as before.
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

  /** The other VMs were frozen, while the store was fast all the time. */
  @Test
  void aDeadOwnerIsReplacedByVmsThatWereFrozen() {
    cluster.awaitOwner();
    cluster.run(2000);
    VmId owner = cluster.owner().orElseThrow().id;
    List<BatchCluster.Vm> others =
        cluster.vms.values().stream().filter(vm -> !vm.id.equals(owner)).toList();
    others.forEach(vm -> vm.frozen = true);
    cluster.run(5000);
    others.forEach(BatchCluster.Vm::unfreeze);
    cluster.run(QUICK_MILLIS);
    killOwner();
  }

  /** The owner was frozen for less than the silence after which the others claim. */
  @Test
  void aDeadOwnerIsReplacedThatWasFrozenBefore() {
    cluster.awaitOwner();
    cluster.run(2000);
    BatchCluster.Vm owner = cluster.owner().orElseThrow();
    owner.frozen = true;
    cluster.run(1400);
    owner.unfreeze();
    cluster.run(QUICK_MILLIS);
    killOwner();
  }
}
