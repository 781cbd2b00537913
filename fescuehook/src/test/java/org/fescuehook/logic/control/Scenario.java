package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.logic.worker.WorkerPort.LeaseState;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.job.JobId;
import org.fescuehook.wire.ControlRecord;

/** A virtual cluster that has an owner and a configuration, and the steps that the tests share. */
final class Scenario {
  final VirtualCluster cluster;
  final ClusterInvariants invariants;

  Scenario(int vmCount, int workerCount) {
    cluster = new VirtualCluster(vmCount, workerCount);
    invariants = new ClusterInvariants(cluster);
    run(2);
    cluster.answer(cluster.vms.get(0), TestDeclarations.publish(-1, workerCount + " 3 first"));
    run(5);
  }

  void run(long seconds) {
    cluster.run(Duration.ofSeconds(seconds));
  }

  VirtualVm owner() {
    return cluster.owner().orElseThrow();
  }

  VirtualVm nonOwner() {
    return cluster.vms.stream()
        .filter(vm -> !vm.dead && !vm.core.owner())
        .findFirst()
        .orElseThrow();
  }

  JobId submit(int members, String command) {
    Answer answer = cluster.answer(nonOwner(), TestDeclarations.gang(members, command));
    return assertInstanceOf(Answer.Accepted.class, answer).job();
  }

  void cancel(JobId job) {
    assertInstanceOf(Answer.Done.class, cluster.answer(nonOwner(), new Request.Cancel(job)));
  }

  JobState job(JobId id) {
    return invariants.observer().jobs().find(id).orElseThrow();
  }

  void until(long seconds, String what, Predicate<Scenario> condition) {
    boolean held = cluster.runUntil(Duration.ofSeconds(seconds), () -> condition.test(this));
    assertTrue(held, () -> what + "; owner " + cluster.owner().map(vm -> vm.id));
  }

  /** Runs until a job has its final result, and returns that result. */
  String result(JobId id, long seconds) {
    until(seconds, id + " is over", s -> s.job(id).hasResult());
    return job(id).snapshot().getJobEnded().getResult().name().replace("JOB_RESULT_", "");
  }

  long running(JobId id) {
    return cluster.workers.values().stream()
        .flatMap(worker -> worker.leases().stream())
        .filter(lease -> lease.state == LeaseState.RUNNING && lease.job.equals(id.value()))
        .count();
  }

  long held() {
    return cluster.workers.values().stream().mapToLong(worker -> worker.leases().size()).sum();
  }

  void untilRunning(JobId id) {
    int members = job(id).job().shape().members();
    until(20, id + " runs", s -> s.running(id) == members);
  }

  List<ControlRecord> appends(VirtualVm vm, Predicate<ControlRecord> kind) {
    return vm.appended.stream().filter(kind).toList();
  }

  long sent(VirtualVm vm, Class<? extends WorkerCommand> kind) {
    return vm.sent.stream().filter(send -> kind.isInstance(send.command())).count();
  }
}
