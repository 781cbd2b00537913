package org.fescuehook.logic.batch;

import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that waits forever for the list of executors and keeps sending
 * heartbeats, while every VM refuses every call. Its pages may arrive too slowly, or the only event
 * that carries the whole list may have been dropped.
 */
class MissingExecutorListTest {

  private static final VmId UNABLE = new VmId("vm-unable");
  private static final long LIMIT_MILLIS = 15_000;

  private final BatchCluster cluster = new BatchCluster(0, 4, 1);

  @Test
  void aVmWithoutTheExecutorListLeavesOwnershipToOneThatHasIt() {
    cluster.faults.dropped =
        (vm, event) -> vm.equals(UNABLE) && event instanceof BatchEvent.ExecutorsListed;
    cluster.start(UNABLE);
    cluster.run(500);
    cluster.start(new VmId("vm-able"));
    cluster.runUntil("an owner", LIMIT_MILLIS, () -> cluster.owner().isPresent());
  }
}
