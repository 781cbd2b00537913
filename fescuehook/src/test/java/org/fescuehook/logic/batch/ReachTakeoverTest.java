package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When ownership moves to a VM that reaches more executors, and when it stays. */
class ReachTakeoverTest {

  /** Longest time until the owner notices, another VM has probed executors and takes over. */
  private static final long MOVE_MILLIS = 5000;

  private static final long LONG_MILLIS = 60_000;

  /** The pauses of 5, 10, 20 and 40 s between moves take longer than {@link #LONG_MILLIS}. */
  private static final int MAX_MOVES = 3;

  private final BatchCluster cluster = new BatchCluster(5, 16, 1);

  @BeforeEach
  void awaitOwnerAndSubmit() {
    cluster.awaitOwner();
    for (int i = 0; i < 200; i++) {
      cluster.in(500L * i, () -> cluster.submit(BatchCluster.NORMAL, wideJob()));
    }
    cluster.run(6000);
  }

  private static org.fescuehook.model.batch.Submission wideJob() {
    return Jobs.of(Jobs.tasks(24, 1, 1500));
  }

  private VmId owner() {
    return cluster.owner().orElseThrow().id;
  }

  private static Set<ExecutorId> executors(int first, int count) {
    Set<ExecutorId> executors = new HashSet<>();
    for (int i = first; i < first + count; i++) {
      executors.add(new ExecutorId("e" + i));
    }
    return executors;
  }

  /** Guards against an owner that keeps ownership while others reach more executors. */
  @Test
  void aVmThatReachesAllExecutorsTakesOverFromAnOwnerThatIsCutOffFromSome() {
    VmId cutOff = owner();
    cluster.faults.cutFromExecutors.put(cutOff, executors(0, 6));
    cluster.runUntil(
        "another owner", MOVE_MILLIS, () -> cluster.owner().isPresent() && !owner().equals(cutOff));
    int moved = cluster.ownershipsWon();
    cluster.run(LONG_MILLIS);
    assertEquals(moved, cluster.ownershipsWon());
  }

  /** Guards against ownership that moves because of executors that no VM reaches. */
  @Test
  void ownershipStaysIfTheExecutorsAreGone() {
    VmId owner = owner();
    cluster.vms.keySet().forEach(vm -> cluster.faults.cutFromExecutors.put(vm, executors(0, 6)));
    cluster.run(LONG_MILLIS);
    assertEquals(owner, owner());
    assertEquals(1, cluster.ownershipsWon());
    assertTrue(!cluster.notes(BatchLogEvent.REACH_COMPARED).isEmpty(), "no VM has probed");
  }

  /** Guards against ownership that moves to and fro while the whole network loses packets. */
  @Test
  void ownershipStaysIfAllVmsLoseConnectionsToAllExecutors() {
    cluster.faults.cutLossRate = 0.2;
    cluster.vms.keySet().forEach(vm -> cluster.faults.cutFromExecutors.put(vm, executors(0, 16)));
    cluster.run(LONG_MILLIS);
    assertEquals(1, cluster.ownershipsWon());
    assertTrue(!cluster.notes(BatchLogEvent.REACH_COMPARED).isEmpty(), "no VM has probed");
  }

  /** Guards against ownership that moves between VMs each of which is cut off from executors. */
  @Test
  void ownershipMovesRarelyIfEachVmIsCutOffFromOtherExecutors() {
    int first = 0;
    for (VmId vm : cluster.vms.keySet()) {
      cluster.faults.cutFromExecutors.put(vm, executors(first, 3));
      first += 3;
    }
    cluster.run(LONG_MILLIS);
    int moves = cluster.ownershipsWon() - 1;
    assertTrue(moves <= MAX_MOVES, () -> moves + " moves");
  }

  /** A weak VM has decided late with many executors, which is worse than reaching fewer of them. */
  @Test
  void ownershipStaysIfOnlyMuchWeakerVmsReachMoreExecutors() {
    VmId owner = owner();
    cluster.start(new VmId("weak-1"));
    cluster.vms.keySet().stream()
        .filter(vm -> !vm.equals(new VmId("weak-1")))
        .forEach(vm -> cluster.faults.cutFromExecutors.put(vm, executors(0, 6)));
    cluster.run(20_000);
    assertEquals(owner, owner());
  }
}
