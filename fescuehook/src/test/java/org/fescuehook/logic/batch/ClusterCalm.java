package org.fescuehook.logic.batch;

/** Since when a {@link BatchCluster} has been without disruption. */
final class ClusterCalm {

  private static final long USUAL_STORE_MILLIS = 4;
  private static final long USUAL_POLL_MILLIS = 100;

  private final BatchCluster cluster;
  private long sinceMillis;

  ClusterCalm(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /** Takes note of the present, and has the work checked that should be gone by now. */
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
