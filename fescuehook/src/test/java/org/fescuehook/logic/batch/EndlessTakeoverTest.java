package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Seen: every VM refuses every call for as long as one looks, although the store is well and most
 * VMs could decide. A VM has claimed and cannot load the jobs: a page comes more slowly to it than
 * the page's time limit allows. It asks for the page again for ever, and its heartbeats keep all
 * others from claiming. Cause: a take-over has no end but success, and heartbeats do not depend on
 * it.
 */
class EndlessTakeoverTest {

  private static final VmId UNABLE = new VmId("vm-unable");
  private static final long LIMIT_MILLIS = 15_000;

  private final BatchCluster cluster = new BatchCluster(0, 4, 1);

  /** Runs for a while and returns how long no VM decided. */
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
  void aVmThatCannotLoadTheJobsLeavesThemToOneThatCan() {
    cluster.faults.cannotLoad.add(UNABLE);
    cluster.start(UNABLE);
    cluster.run(500);
    cluster.start(new VmId("vm-able"));
    cluster.runUntil("an owner", LIMIT_MILLIS, () -> cluster.owner().isPresent());
  }

  /** Much more power lets it claim from an owner that lives, and again after it has given up. */
  @Test
  void aStrongVmThatCannotLoadTheJobsDoesNotTakeThemFromAWeakOneAgainAndAgain() {
    cluster.start(new VmId("weak-1"));
    cluster.awaitOwner();
    cluster.run(1000);
    cluster.faults.cannotLoad.add(UNABLE);
    cluster.start(UNABLE);
    long undecided = undecidedMillis(60_000);
    assertTrue(undecided < 20_000, () -> "no VM decided for " + undecided + " of 60000 ms");
  }
}
