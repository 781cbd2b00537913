package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.FailureDomain;

/**
 * The failure domains that operators of a {@link BatchCluster} evacuate. VMs read them while they
 * reach the store. Checks that no run starts there: not by an order of a VM that has read of the
 * evacuation, and some time after its begin by no order of a VM that was in touch with the store.
 */
final class ClusterEvacuations {

  /** Time after which every VM in touch with the store respects an evacuation. */
  private static final long EVACUATION_BOUND_MILLIS = 5000;

  /** Time without trouble after which a VM counts as in touch with the store. */
  private static final long CONTACT_MILLIS = 4000;

  /** Interval of the reads of the operators' stream. */
  private static final long READ_MILLIS = 1000;

  private final BatchCluster cluster;
  private final Map<FailureDomain, Long> since = new HashMap<>();
  private final Map<BatchCluster.Vm, Set<FailureDomain>> known = new HashMap<>();
  private final Map<BatchCluster.Vm, Long> inTouchSince = new HashMap<>();

  ClusterEvacuations(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /** Evacuates failure domains in addition to those that are evacuated. */
  void evacuate(FailureDomain... domains) {
    for (FailureDomain domain : domains) {
      since.putIfAbsent(domain, cluster.nowMillis());
    }
  }

  /** Ends the evacuation of a failure domain. */
  void giveBack(FailureDomain domain) {
    since.remove(domain);
  }

  void giveBackAll() {
    since.clear();
  }

  /** Lets a VM read the evacuated failure domains if it can; called at short intervals. */
  void read(BatchCluster.Vm vm) {
    if (!cluster.reachesStore(vm) || vm.frozen) {
      inTouchSince.put(vm, cluster.nowMillis());
      return;
    }
    inTouchSince.putIfAbsent(vm, cluster.nowMillis());
    if (!since.keySet().equals(known.get(vm))) {
      Set<FailureDomain> domains = new HashSet<>(since.keySet());
      known.put(vm, domains);
      cluster.in(cluster.faults.storeDelayMillis, () -> deliver(vm, domains));
    }
    // After what was read, as the event requires.
    long sentAt = cluster.nowMillis() * 1_000_000;
    if (cluster.nowMillis() % READ_MILLIS < BatchCluster.TICK_MILLIS) {
      cluster.in(
          cluster.faults.storeDelayMillis, () -> vm.deliver(new BatchEvent.OperatorsRead(sentAt)));
    }
  }

  private void deliver(BatchCluster.Vm vm, Set<FailureDomain> domains) {
    vm.deliver(new BatchEvent.EvacuationsRead(domains, 0, OptionalLong.empty()));
    vm.evacuationsRead = domains;
  }

  /** Checks a start order at the time at which a VM sends it. */
  void checkOrder(BatchCluster.Vm vm, TaskRun run, ExecutorProfile executor) {
    FailureDomain domain = executor.domain();
    assertTrue(
        !vm.evacuationsRead.contains(domain),
        () -> vm.id + " starts " + run + " in " + domain + ", which it knows to be evacuated");
    long now = cluster.nowMillis();
    boolean inTouch = now - inTouchSince.getOrDefault(vm, now) > CONTACT_MILLIS;
    long evacuated = now - since.getOrDefault(domain, now);
    assertTrue(
        !inTouch || evacuated <= EVACUATION_BOUND_MILLIS,
        () -> vm.id + " starts " + run + " in " + domain + ", evacuated for " + evacuated + " ms");
  }
}
