package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashSet;
import java.util.Set;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that gives up ownership after an outage in its takeover. The store fails
 * just after a claim, for 8 s. When it is back, it answers a heartbeat first, while the takeover's
 * append, sent just before, hangs until its time limit of 1 s. The owner could load the jobs right
 * after that, but the limit of 5 s without progress also counted the time of the outage, so it gave
 * up on the heartbeat's answer.
 */
class OutageInTakeoverTest {

  private static final long OUTAGE_MILLIS = 8000;
  private static final long APPEND_HANG_MILLIS = 800;

  private int epochs(int vms) {
    BatchCluster cluster = new BatchCluster(0, 8, 1);
    for (int i = 0; i < vms; i++) {
      cluster.start(new VmId("vm-" + i));
    }
    cluster.faults.streamsDown.add(StreamName.STATE);
    cluster.runUntil(
        "a claim",
        5000,
        () -> cluster.vms.values().stream().anyMatch(vm -> vm.core.ownerHint().isPresent()));
    cluster.run(300);
    cluster.faults.storeDown = true;
    cluster.run(OUTAGE_MILLIS);
    // An append that was sent just before the end of the outage hangs until its time limit of 1 s.
    cluster.faults.storeDown = false;
    cluster.in(APPEND_HANG_MILLIS, cluster.faults.streamsDown::clear);
    Set<Long> epochs = new HashSet<>();
    for (int i = 0; i < 250; i++) {
      cluster.vms.values().stream()
          .flatMap(vm -> vm.core.ownerHint().stream())
          .map(OwnerHint::epoch)
          .forEach(epochs::add);
      cluster.run(20);
    }
    return epochs.size();
  }

  @Test
  void aSingleVmLoadsTheJobsAfterAnOutageInsteadOfGivingUp() {
    assertEquals(1, epochs(1));
  }

  @Test
  void anOwnerLoadsTheJobsAfterAnOutageInsteadOfGivingUp() {
    assertEquals(1, epochs(3));
  }
}
