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

/** What must hold in every state of a virtual cluster. Folds the log on its own. */
final class ClusterInvariants {
  private final VirtualCluster cluster;
  private final ControlState observer = new ControlState();
  private final Map<String, Long> partSince = new HashMap<>();
  private long next;
  private long covered;
  long longestPartNanos;
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
      covered = Math.max(covered, record.getSnapshotPart().getCoversUntil());
    }
  }

  /** Drops all that the last whole snapshot covers. */
  void dropCovered() {
    observer();
    cluster.log.dropUntil(covered);
  }

  void check() {
    observer();
    checkRunningTasks();
    checkBooks();
    checkShares();
    for (VirtualVm vm : cluster.vms) {
      List<Long> sorted = vm.revisions.stream().distinct().sorted().toList();
      assertEquals(sorted, vm.revisions, "a configuration reverted on " + vm.id);
    }
  }

  private void checkRunningTasks() {
    Map<String, String> attemptOfJob = new HashMap<>();
    Map<String, Integer> begun = new HashMap<>();
    Set<String> running = new HashSet<>();
    for (FakeWorker worker : cluster.workers.values()) {
      for (FakeWorker.Lease lease : worker.leases()) {
        if (lease.attempt.isEmpty()) {
          continue;
        }
        begun.merge(lease.attempt, 1, Integer::sum);
        if (lease.state == LeaseState.RUNNING) {
          running.add(lease.attempt);
          String other = attemptOfJob.putIfAbsent(lease.job, lease.attempt);
          assertTrue(
              other == null || other.equals(lease.attempt),
              () -> other + " and " + lease.attempt + " run at once");
        }
      }
    }
    partSince.keySet().retainAll(running);
    for (String attempt : running) {
      JobId id = new JobId(attempt.substring(0, attempt.lastIndexOf('.')));
      JobState job = observer.jobs().find(id).orElseThrow();
      if (begun.get(attempt) == job.job().shape().members()) {
        partSince.remove(attempt);
      } else {
        long since = partSince.computeIfAbsent(attempt, key -> cluster.now());
        longestPartNanos = Math.max(longestPartNanos, cluster.now() - since);
      }
    }
  }

  private void checkBooks() {
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
                () -> worker + " is booked twice: " + capacity));
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

  /** All VMs that live hold the state of the whole log. */
  void checkSameState() {
    observer();
    for (VirtualVm vm : cluster.vms) {
      if (!vm.dead && vm.core.nextOffset() == next) {
        assertEquals(observer.snapshot(), vm.core.state().snapshot(), "state of " + vm.id);
      }
    }
  }
}
