package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a VM without a configuration that becomes the owner, after which every VM refuses
 * every call. The stored configuration cannot be read; VMs that are running keep the previous one,
 * but a VM that starts has none and cannot decide. It must not claim, even if the owner is its own
 * previous incarnation or has much less CPU.
 */
class UnconfiguredOwnerTest {

  private static final VmId FRESH = new VmId("vm-fresh");
  private static final long LIMIT_MILLIS = 5000;

  private final BatchCluster cluster = new BatchCluster(0, 4, 1);

  private void noConfigurationComesTo(VmId fresh) {
    cluster.faults.dropped =
        (vm, event) -> vm.equals(fresh) && event instanceof BatchEvent.ConfigurationRead;
  }

  @Test
  void aStrongerVmWithoutAConfigurationDoesNotReplaceAWeakerOwner() {
    cluster.start(new VmId("weak-1"));
    cluster.awaitOwner();
    noConfigurationComesTo(FRESH);
    cluster.start(FRESH);
    cluster.run(LIMIT_MILLIS);
    assertTrue(cluster.owner().isPresent(), "no VM decides");
  }

  @Test
  void anOwnerThatRestartsWithoutAConfigurationIsReplaced() {
    cluster.start(FRESH);
    cluster.awaitOwner();
    cluster.start(new VmId("vm-old"));
    cluster.run(500);
    noConfigurationComesTo(FRESH);
    cluster.restart(FRESH, 300);
    cluster.run(1000);
    cluster.runUntil("an owner", LIMIT_MILLIS, () -> cluster.owner().isPresent());
  }
}
