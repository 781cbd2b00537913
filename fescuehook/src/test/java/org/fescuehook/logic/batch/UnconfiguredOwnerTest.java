package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Seen: a VM starts anew, and from then on every VM refuses every call. The configuration that is
 * stored now cannot be read; VMs that run keep the one before, the new one has none. It claims all
 * the same, at once if the owner is its former start or much weaker, and cannot decide. Cause: a
 * claim does not ask whether this VM has a configuration, which every owner needs.
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
  void aStrongVmWithoutAConfigurationDoesNotTakeOverFromAWeakOneThatDecides() {
    cluster.start(new VmId("weak-1"));
    cluster.awaitOwner();
    noConfigurationComesTo(FRESH);
    cluster.start(FRESH);
    cluster.run(LIMIT_MILLIS);
    assertTrue(cluster.owner().isPresent(), "nobody decides");
  }

  @Test
  void anOwnerThatStartsAnewWithoutAConfigurationIsReplaced() {
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
