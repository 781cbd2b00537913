package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Random histories in which the owner and some other VMs are cut off from some executors, while the
 * remaining VMs reach all. Guards against jobs that have nothing running for seconds in a half idle
 * fleet, because a VM that cannot reach a third of the executors keeps ownership.
 */
class PartialPartitionHistoriesTest {

  private static final int HISTORIES = 30;
  private static final int VMS = 5;
  private static final int EXECUTORS = 16;
  private static final int CUT_EXECUTORS = 7;
  private static final long CUT_AT_MILLIS = 8000;

  /** The users judge idle jobs at the end of a day, when the cut has lasted for long. */
  private static final long JUDGED_FROM_MILLIS = CUT_AT_MILLIS + 8000;

  private static final long DAY_MILLIS = 45_000;

  @Test
  void noJobIsIdleWhileTheOwnerIsCutOffFromSomeExecutors() {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed, 1, 0));
  }

  @Test
  void noJobIsIdleWhileTheOwnerLosesHalfOfItsConnectionsToSomeExecutors() {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed, 0.5, 0));
  }

  @Test
  void noJobIsIdleWhileTheOwnerIsCutOffAndMostAnswersAreLost() {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed, 0.75, 0.6));
  }

  private static void play(long seed, double cutLossRate, double lateOrderRate) {
    BatchCluster cluster = new BatchCluster(VMS, EXECUTORS, seed);
    IdleJobChecks checks = new IdleJobChecks(cluster);
    for (int i = 0; i < 40; i++) {
      cluster.in(1500 + cluster.random.nextInt(40_000), checks::submitRandomJob);
    }
    cluster.in(CUT_AT_MILLIS, () -> cut(cluster, cutLossRate, lateOrderRate));
    cluster.in(JUDGED_FROM_MILLIS, () -> checks.checkUntil(DAY_MILLIS));
    cluster.run(DAY_MILLIS);
    cluster.faults.cutFromExecutors.clear();
    cluster.faults.lateOrderRate = 0;
    assertEquals(List.of(), checks.breaches());
    cluster.run(40_000);
    RandomJobs.check(cluster);
  }

  /** Cuts the owner and up to two other VMs off from the same executors. */
  private static void cut(BatchCluster cluster, double cutLossRate, double lateOrderRate) {
    List<ExecutorId> executors = new ArrayList<>(cluster.executors.keySet());
    Collections.shuffle(executors, cluster.random);
    Set<ExecutorId> unreachable = new HashSet<>(executors.subList(0, CUT_EXECUTORS));
    cluster.faults.cutLossRate = cutLossRate;
    cluster.faults.lateOrderRate = lateOrderRate;
    cluster.faults.cutFromExecutors.put(cluster.owner().orElseThrow().id, unreachable);
    for (int i = 0; i < 2; i++) {
      VmId other = new VmId("vm-" + cluster.random.nextInt(VMS));
      cluster.faults.cutFromExecutors.put(other, unreachable);
    }
  }
}
