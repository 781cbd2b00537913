package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.control.record.DecodedRecord;
import org.fescuehook.logic.control.record.RecordCodec;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.control.state.FoldResult;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.logic.worker.WorkerPort.LeaseState;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.wire.ControlRecord;

/**
 * Checks the invariants of a virtual cluster against a state that it derives from the log itself.
 */
final class ClusterInvariants {
  private final VirtualCluster cluster;
  private final ControlState observer = new ControlState();
  private final Map<String, Long> partialSince = new HashMap<>();
  private long next;
  private long coveredUntil;
  long longestPartialGangNanos;
  long claims;
  long attempts;

  ClusterInvariants(VirtualCluster cluster) {
    this.cluster = cluster;
    cluster.check = this::check;
  }

  ControlState observer() {
    for (LogRecord record : cluster.log.read(next, Integer.MAX_VALUE).records()) {
      if (RecordCodec.decode(record.data()) instanceof DecodedRecord.Known(var known)) {
        FoldResult result = observer.fold(known, record.offset(), record.appendedMillis());
        note(known, result == FoldResult.COUNTED);
      }
      next = record.offset() + 1;
    }
    return observer;
  }

  private void note(ControlRecord record, boolean counted) {
    claims += counted && record.hasOwnerClaim() ? 1 : 0;
    attempts += counted && record.hasAttemptPlanned() ? 1 : 0;
    if (record.hasSnapshotPart() && record.getSnapshotPart().getParts() == 1) {
      coveredUntil = Math.max(coveredUntil, record.getSnapshotPart().getCoversUntil());
    }
  }

  /** Removes from the log all records that the last complete snapshot includes. */
  void dropCovered() {
    observer();
    cluster.log.dropUntil(coveredUntil);
  }

  void check() {
    observer();
    checkRunningTasks();
    checkAllocations();
    checkShares();
    for (VirtualVm vm : cluster.vms) {
      List<Long> sorted = vm.revisions.stream().distinct().sorted().toList();
      assertEquals(sorted, vm.revisions, "a configuration reverted on " + vm.id);
    }
  }

  private void checkRunningTasks() {
    Map<String, String> attemptOfJob = new HashMap<>();
    Map<String, Integer> started = new HashMap<>();
    Set<String> running = new HashSet<>();
    for (FakeWorker worker : cluster.workers.values()) {
      for (FakeWorker.Lease lease : worker.leases()) {
        if (lease.attempt.isEmpty()) {
          continue;
        }
        started.merge(lease.attempt, 1, Integer::sum);
        if (lease.state == LeaseState.RUNNING) {
          running.add(lease.attempt);
          String other = attemptOfJob.putIfAbsent(lease.job, lease.attempt);
          assertTrue(
              other == null || other.equals(lease.attempt),
              () -> other + " and " + lease.attempt + " run at the same time");
        }
      }
    }
    partialSince.keySet().retainAll(running);
    for (String attempt : running) {
      JobId id = new JobId(attempt.substring(0, attempt.lastIndexOf('.')));
      JobState job = observer.jobs().find(id).orElseThrow();
      if (started.get(attempt) == job.job().shape().members()) {
        partialSince.remove(attempt);
      } else {
        long since = partialSince.computeIfAbsent(attempt, key -> cluster.now());
        longestPartialGangNanos = Math.max(longestPartialGangNanos, cluster.now() - since);
      }
    }
  }

  private void checkAllocations() {
    Map<WorkerId, Capacity> used = new HashMap<>();
    for (JobState job : observer.jobs().live()) {
      for (WorkerId worker : job.workers()) {
        used.merge(worker, job.job().shape().perMember(), Capacity::plus);
      }
    }
    used.forEach(
        (worker, capacity) ->
            assertTrue(
                TestDeclarations.CAPACITY.contains(capacity),
                () -> worker + " is allocated beyond its capacity: " + capacity));
  }

  private void checkShares() {
    Map<String, Integer> slots = new HashMap<>();
    Map<String, Integer> connections = new HashMap<>();
    for (VirtualVm vm : cluster.vms) {
      if (!vm.dead) {
        vm.shares.values().forEach(s -> slots.merge(s.getExecutor(), s.getSlots(), Integer::sum));
        vm.shares
            .values()
            .forEach(s -> connections.merge(s.getExecutor(), s.getConnections(), Integer::sum));
      }
    }
    slots.forEach((executor, sum) -> assertTrue(sum <= 8, () -> executor + " slots " + sum));
    connections.forEach((executor, sum) -> assertTrue(sum <= 64, () -> executor + " " + sum));
  }

  /** Checks that all live VMs that have read the whole log hold its state. */
  void checkSameState() {
    observer();
    for (VirtualVm vm : cluster.vms) {
      if (!vm.dead && vm.core.nextOffset() == next) {
        assertEquals(observer.snapshot(), vm.core.state().snapshot(), "state of " + vm.id);
      }
    }
  }
}
