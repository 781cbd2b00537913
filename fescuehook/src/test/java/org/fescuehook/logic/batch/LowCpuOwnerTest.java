package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against VMs with little CPU that replace each other every few seconds in a large fleet, so
 * that calls about accepted jobs get no answer.
 *
 * <p>If a new owner polled all executors at once, a VM with a third of a core would read most
 * answers only after their time limit of 0.35 s. The executors would count as silent, their
 * connections would be closed, and they would be polled again at once at the same cost. Heartbeats
 * and calls would wait behind that work, so another VM would take over and do the same: there were
 * four owners within 17 s, and all 245 executors counted as silent a second after each of them
 * began.
 *
 * <p>The number of polls in progress therefore depends on what the VM can process and not on the
 * size of the fleet, and the VM's own delay does not count as silence of executors. Plans after
 * each event added to the load, see {@link BusyOwnerTest}.
 */
class LowCpuOwnerTest {

  private static final int EXECUTORS = 350;
  private static final int VMS = 3;

  /**
   * Time for an exchange with a new connection on a third of a core, before the code is compiled.
   */
  private static final long EXCHANGE_MILLIS = 5;

  private final BatchCluster cluster = new BatchCluster(0, EXECUTORS, 1);

  private void startAll() {
    for (int i = 0; i < VMS; i++) {
      cluster.start(new VmId("weak-" + i));
    }
  }

  @Test
  void aVmWithLittleCpuReachesAllExecutorsOfALargeFleet() {
    cluster.faults.exchangeMillis = EXCHANGE_MILLIS;
    startAll();
    cluster.awaitOwner();
    cluster.runUntil("all executors", 8_000, () -> cluster.orders.reached.size() == EXECUTORS);
  }

  @Test
  void anOwnerThatIsSlowedDownByItsFirstPollsIsNotReplaced() {
    startAll();
    cluster.awaitOwner();
    cluster.run(1000);
    cluster.faults.exchangeMillis = EXCHANGE_MILLIS;
    cluster.vms.keySet().forEach(id -> cluster.restart(id, 500));
    Set<Long> epochs = new HashSet<>();
    for (int i = 0; i < 1000; i++) {
      cluster.run(20);
      cluster
          .owner()
          .flatMap(vm -> vm.core.ownerHint())
          .map(OwnerHint::epoch)
          .ifPresent(epochs::add);
    }
    assertTrue(cluster.owner().isPresent(), "no VM decides");
    assertEquals(1, epochs.size(), () -> "owners' epochs " + epochs);
  }
}
