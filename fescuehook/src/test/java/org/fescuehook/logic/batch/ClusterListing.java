package org.fescuehook.logic.batch;

import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;

/** The list of executors of a {@link BatchCluster}, as it reaches the VMs that follow it. */
final class ClusterListing {

  private final BatchCluster cluster;

  ClusterListing(BatchCluster cluster) {
    this.cluster = cluster;
  }

  void follow(BatchCluster.Vm vm, boolean following) {
    vm.following = following;
    if (following) {
      cluster.in(
          cluster.faults.storeDelayMillis,
          () ->
              vm.deliver(
                  new BatchEvent.ExecutorsListed(
                      cluster.executors.values().stream()
                          .map(FakeExecutor::profile)
                          .filter(profile -> !cluster.faults.unlisted.contains(profile.id()))
                          .toList())));
    }
  }

  void list(ExecutorId id) {
    deliver(new BatchEvent.ExecutorSeen(cluster.executors.get(id).profile()));
  }

  void unlist(ExecutorId id) {
    deliver(new BatchEvent.ExecutorUnlisted(id));
  }

  void leave(ExecutorId id, long remainingMillis) {
    FakeExecutor executor = cluster.executors.get(id);
    ExecutorProfile leaving = TestFixtures.leaving(executor.profile(), remainingMillis);
    executor.setProfile(leaving);
    deliver(new BatchEvent.ExecutorSeen(leaving));
  }

  private void deliver(BatchEvent event) {
    cluster.vms.values().stream().filter(vm -> vm.following).forEach(vm -> vm.deliver(event));
  }
}
