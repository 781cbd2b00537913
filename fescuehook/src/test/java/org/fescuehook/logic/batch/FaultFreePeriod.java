package org.fescuehook.logic.batch;

/** Tracks since when a {@link BatchCluster} has been free of faults. */
final class FaultFreePeriod {

  /** Store delay that does not count as a fault. */
  private static final long NORMAL_STORE_DELAY_MILLIS = 4;

  /** Time for the answer to a poll that does not count as a fault. */
  private static final long NORMAL_POLL_MILLIS = 100;

  private final BatchCluster cluster;
  private long sinceMillis;

  FaultFreePeriod(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Updates the start of the fault-free period and checks that runs of cancelled jobs have ended.
   */
  void update() {
    if (!faultFree()) {
      sinceMillis = cluster.nowMillis();
    }
    cluster.work.checkEnded(sinceMillis, cluster.nowMillis());
  }

  private boolean faultFree() {
    return cluster.vms.values().stream().allMatch(vm -> vm.running && !vm.frozen)
        && storeFaultFree(cluster.faults)
        && executorsFaultFree(cluster.faults);
  }

  private static boolean storeFaultFree(ClusterFaults faults) {
    return !faults.storeDown
        && faults.streamsDown.isEmpty()
        && faults.cutFromStore.isEmpty()
        && faults.cannotLoad.isEmpty()
        && faults.lostAnswerRate == 0
        && faults.appendMillis == 0
        && faults.storeDelayMillis <= NORMAL_STORE_DELAY_MILLIS;
  }

  private static boolean executorsFaultFree(ClusterFaults faults) {
    return faults.silent.isEmpty()
        && faults.unlisted.isEmpty()
        && !faults.lostStops
        && faults.lateOrderRate == 0
        && faults.exchangeMillis == 0
        && faults.pollMillis <= NORMAL_POLL_MILLIS
        && faults.dropped.equals(ClusterFaults.NOTHING_DROPPED);
  }
}
