package org.fescuehook.logic.batch;

import java.time.Duration;
import org.fescuehook.logic.batch.store.StreamName;

/** Reads the ownership stream of a {@link BatchCluster} for its VMs. */
final class ClusterOwnershipReads {

  private static final long STEP_MILLIS = 20;

  /** Pause between two reads. */
  private static final long PAUSE_MILLIS = 400;

  /** How long a read waits for a new record. */
  private static final long WAIT_MILLIS = 1000;

  private static final long NO_KNOWN_END = -1;

  private final BatchCluster cluster;

  ClusterOwnershipReads(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /** Begins to read for a VM that has just started. */
  void begin(BatchCluster.Vm vm) {
    read(vm, NO_KNOWN_END, cluster.nowMillis());
    BatchEvent late = new BatchEvent.OwnershipUnreadable();
    cluster.faults.firstReadLateAt().forEach(at -> cluster.in(at, () -> vm.deliver(late)));
  }

  /** Reads the stream; the store answers once there is a record, or after a while. */
  private void read(BatchCluster.Vm vm, long knownEnd, long until) {
    if (!vm.running) {
      return;
    }
    boolean reached = cluster.reachesStore(vm);
    long end = cluster.store.end(StreamName.OWNERSHIP);
    if (reached && end == knownEnd && cluster.nowMillis() < until) {
      cluster.in(STEP_MILLIS, () -> read(vm, knownEnd, until));
      return;
    }
    BatchEvent answer = reached ? cluster.store.ownership() : new BatchEvent.OwnershipUnreadable();
    cluster.in(cluster.faults.storeDelayMillis, () -> answered(vm, answer, end));
  }

  private void answered(BatchCluster.Vm vm, BatchEvent answer, long end) {
    if (cluster.reachesStore(vm)) {
      vm.readTimes.answered(Duration.ofMillis(cluster.faults.storeDelayMillis).toNanos());
    }
    if (!vm.frozen) {
      vm.deliver(answer);
    }
    cluster.in(PAUSE_MILLIS, () -> read(vm, end, cluster.nowMillis() + WAIT_MILLIS));
  }
}
