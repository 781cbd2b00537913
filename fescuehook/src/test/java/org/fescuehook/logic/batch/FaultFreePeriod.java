package org.fescuehook.logic.batch;

/** Tracks since when a {@link BatchCluster} has been free of faults. */
final class FaultFreePeriod {

  /** Store delay that does not count as a fault. */
  private static final long USUAL_STORE_MILLIS = 4;

  /** Time for the answer to a poll that does not count as a fault. */
  private static final long USUAL_POLL_MILLIS = 100;

  private final BatchCluster cluster;
  private long sinceMillis;

  FaultFreePeriod(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Updates the start of the fault-free period and checks that runs of cancelled jobs have ended.
   */
  void look() {
    if (!calm()) {
      sinceMillis = cluster.nowMillis();
    }
    cluster.work.checkEnded(sinceMillis, cluster.nowMillis());
  }

  private boolean calm() {
    return cluster.vms.values().stream().allMatch(vm -> vm.running && !vm.frozen)
        && storeCalm(cluster.faults)
        && executorsCalm(cluster.faults);
  }

  private static boolean storeCalm(ClusterFaults faults) {
    return !faults.storeDown
        && faults.streamsDown.isEmpty()
        && faults.cutFromStore.isEmpty()
        && faults.cannotLoad.isEmpty()
        && faults.lostAnswers == 0
        && faults.appendMillis == 0
        && faults.storeDelay <= USUAL_STORE_MILLIS;
  }

  private static boolean executorsCalm(ClusterFaults faults) {
    return faults.silent.isEmpty()
        && faults.unlisted.isEmpty()
        && !faults.lostStops
        && faults.lateOrders == 0
        && faults.exchangeMillis == 0
        && faults.pollMillis <= USUAL_POLL_MILLIS
        && faults.dropped.equals(ClusterFaults.NOTHING_DROPPED);
  }
}
