package org.fescuehook.logic.batch;

import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Seen: every VM refuses every call for as long as one looks, and the newest owner has loaded the
 * jobs long ago. The list of executors never came to it: its pages come too slowly, or the one
 * event that carried it was dropped. Cause: an owner waits for the list without a limit and goes on
 * with its heartbeats; the list is told as a whole only once.
 */
class UnlistedFleetTest {

  private static final VmId UNABLE = new VmId("vm-unable");
  private static final long LIMIT_MILLIS = 15_000;

  private final BatchCluster cluster = new BatchCluster(0, 4, 1);

  @Test
  void aVmThatIsNotToldTheExecutorsLeavesOwnershipToOneThatIs() {
    cluster.faults.dropped =
        (vm, event) -> vm.equals(UNABLE) && event instanceof BatchEvent.ExecutorsListed;
    cluster.start(UNABLE);
    cluster.run(500);
    cluster.start(new VmId("vm-able"));
    cluster.runUntil("an owner", LIMIT_MILLIS, () -> cluster.owner().isPresent());
  }
}
