package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a takeover that never ends, during which every VM refuses every call although the
 * store works and other VMs could decide. A VM has claimed ownership but cannot load the jobs,
 * since a page takes longer to reach it than the page's time limit. If it requested the page
 * forever and kept sending heartbeats, no other VM would claim.
 */
class StuckTakeoverTest {

  private static final VmId UNABLE = new VmId("vm-unable");
  private static final long LIMIT_MILLIS = 15_000;

  private final BatchCluster cluster = new BatchCluster(0, 4, 1);

  /** Lets time pass and returns how long of it no VM decided. */
  private long undecidedMillis(long millis) {
    long step = 20;
    long undecided = 0;
    for (long passed = 0; passed < millis; passed += step) {
      cluster.run(step);
      undecided += cluster.owner().isPresent() ? 0 : step;
    }
    return undecided;
  }

  @Test
  void aVmThatCannotLoadTheJobsLeavesOwnershipToOneThatCan() {
    cluster.faults.cannotLoad.add(UNABLE);
    cluster.start(UNABLE);
    cluster.run(500);
    cluster.start(new VmId("vm-able"));
    cluster.runUntil("an owner", LIMIT_MILLIS, () -> cluster.owner().isPresent());
  }

  /**
   * Much more CPU lets a VM claim from a live owner, also again after it has given up ownership.
   */
  @Test
  void aStrongerVmThatCannotLoadTheJobsDoesNotReplaceAWeakerOwnerRepeatedly() {
    cluster.start(new VmId("weak-1"));
    cluster.awaitOwner();
    cluster.run(1000);
    cluster.faults.cannotLoad.add(UNABLE);
    cluster.start(UNABLE);
    long undecided = undecidedMillis(60_000);
    assertTrue(undecided < 20_000, () -> "no VM decided for " + undecided + " of 60000 ms");
  }
}
