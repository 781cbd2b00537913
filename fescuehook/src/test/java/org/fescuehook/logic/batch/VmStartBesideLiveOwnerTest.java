package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against VMs that start while the store is slow and replace a live owner. Their first read
 * counts as late several times before its answer arrives, so they cannot estimate the store's
 * response time and may take the time between two heartbeats for silence.
 */
class VmStartBesideLiveOwnerTest {

  private static final long DOWN_MILLIS = 1200;
  private static final long STEADY_MILLIS = 30_000;

  private final BatchCluster cluster = new BatchCluster(8, 20, 1);

  @ParameterizedTest
  @ValueSource(longs = {300, 700, 900, 1400, 2000})
  void aLiveOwnerIsNotReplacedByVmsThatStart(long answerMillis) {
    cluster.awaitOwner();
    cluster.faults.storeDelayMillis = answerMillis;
    cluster.faults.appendMillis = answerMillis;
    cluster.run(STEADY_MILLIS);
    cluster.runUntil("an owner", STEADY_MILLIS, () -> cluster.owner().isPresent());
    VmId owner = cluster.owner().orElseThrow().id;
    int owners = cluster.ownershipsWon();
    List<VmId> others = cluster.vms.keySet().stream().filter(vm -> !vm.equals(owner)).toList();
    others.forEach(vm -> cluster.restart(vm, DOWN_MILLIS));
    cluster.run(STEADY_MILLIS);
    assertEquals(owners, cluster.ownershipsWon(), "a live owner was replaced");
  }
}
