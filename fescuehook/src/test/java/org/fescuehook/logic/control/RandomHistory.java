package org.fescuehook.logic.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.VirtualCluster.AppendFault;
import org.fescuehook.logic.control.VirtualCluster.SendFault;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.preferences.ControlPreferences;

/** A run of a virtual cluster with jobs and faults at random times, determined by its seed. */
final class RandomHistory {
  private static final int MAX_FAULTS = 6;
  private static final int MAX_FAULTS_DENSE = 25;
  static final int JOBS = 6;
  private static final int FAULT_KINDS = 18;
  private static final int BUSY_MILLIS = 120_000;

  private static final ControlPreferences PREFERENCES = preferences();

  final VirtualCluster cluster = new VirtualCluster(3, 4, PREFERENCES);
  final ClusterInvariants invariants = new ClusterInvariants(cluster);
  final Map<Long, String> submissions = new HashMap<>();
  final List<String> faults = new ArrayList<>();
  private final Random random;
  private int replaced;

  private static ControlPreferences preferences() {
    ControlPreferences base = ControlPreferences.DEFAULT;
    return new ControlPreferences(
        base.ownerHeartbeat(),
        base.ownerTimeout(),
        base.claimStagger(),
        base.leaseTtl(),
        base.renewInterval(),
        base.grantTimeout(),
        Duration.ofSeconds(15),
        base.tick());
  }

  RandomHistory(long seed) {
    random = new Random(seed);
  }

  void run() {
    cluster.run(Duration.ofSeconds(2));
    cluster.answer(cluster.vms.get(0), TestDeclarations.publish(-1, "4 3 first"));
    for (int i = 0; i < JOBS; i++) {
      String requestId = "request-" + i;
      cluster.after(random.nextInt(BUSY_MILLIS / 2), () -> submit(requestId));
    }
    int most = random.nextBoolean() ? MAX_FAULTS : MAX_FAULTS_DENSE;
    int count = 2 + random.nextInt(most - 1);
    for (int i = 0; i < count; i++) {
      cluster.after(random.nextInt(BUSY_MILLIS), this::fault);
    }
    cluster.run(Duration.ofMillis(BUSY_MILLIS + 100_000));
    cluster.runUntil(Duration.ofMinutes(100), this::allDone);
    cluster.run(Duration.ofSeconds(5));
  }

  private boolean allDone() {
    boolean answered =
        submissions.keySet().stream()
            .allMatch(ticket -> cluster.vms.stream().anyMatch(vm -> answeredBy(vm, ticket)));
    return answered
        && invariants.observer().jobs().waitingCount() == 0
        && invariants.observer().jobs().liveCount() == 0;
  }

  private static boolean answeredBy(VirtualVm vm, long ticket) {
    return vm.dead || vm.answers.containsKey(ticket);
  }

  private VirtualVm anyVm() {
    List<VirtualVm> alive = cluster.vms.stream().filter(vm -> !vm.dead).toList();
    return alive.get(random.nextInt(alive.size()));
  }

  private boolean noVm() {
    return cluster.vms.stream().allMatch(vm -> vm.dead);
  }

  private void submit(String requestId) {
    if (noVm()) {
      cluster.after(1000, () -> submit(requestId));
      return;
    }
    String command = "finish " + (1 + random.nextInt(60));
    Request.Submit submit =
        TestDeclarations.submit(Optional.of(requestId), 1 + random.nextInt(3), command);
    submissions.put(cluster.ask(anyVm(), submit), requestId);
  }

  private void fault() {
    if (noVm()) {
      return;
    }
    int kind = random.nextInt(FAULT_KINDS);
    int millis = 500 + random.nextInt(random.nextInt(3) == 0 ? 90_000 : 10_000);
    VirtualVm vm = random.nextBoolean() ? anyVm() : cluster.owner().orElseGet(this::anyVm);
    faults.add((cluster.now() / VirtualCluster.MILLI) + ":" + kind + "/" + vm.id + "/" + millis);
    switch (kind) {
      case 0, 1 -> {
        cluster.pause(vm);
        cluster.after(millis, () -> cluster.resume(vm));
      }
      case 2 -> replace(vm);
      case 3 -> appendFault(AppendFault.REPLY_LOST, millis);
      case 4 -> appendFault(AppendFault.RECORD_LOST, millis);
      case 5 -> appendFault(AppendFault.LATE, millis);
      case 6 -> sendFault(SendFault.REPLY_LOST, millis);
      case 7 -> sendFault(SendFault.COMMAND_LOST, millis);
      case 8 -> {
        cluster.log.down = true;
        cluster.after(millis, () -> cluster.log.down = false);
      }
      case 9 -> {
        vm.logUnreachable = true;
        vm.peersUnreachable = random.nextBoolean();
        cluster.after(
            millis,
            () -> {
              vm.logUnreachable = false;
              vm.peersUnreachable = false;
            });
      }
      case 10 -> {
        FakeWorker worker = cluster.workers.get(TestDeclarations.worker(random.nextInt(4)));
        worker.die();
        cluster.after(millis, () -> worker.dead = false);
      }
      case 11 -> cancelOne();
      case 12 -> reclaimOne();
      case 13 -> invariants.dropCovered();
      case 14 -> publishConcurrently();
      case 15 -> disconnectWorker(vm, millis);
      case 16 -> {
        cluster.appendMillis = 100L + random.nextInt(2000);
        cluster.after(millis, () -> cluster.appendMillis = 3);
      }
      default -> makeWorkerUncooperative(millis);
    }
  }

  private void replace(VirtualVm vm) {
    cluster.kill(vm);
    replaced++;
    boolean sameName = random.nextBoolean();
    String name = sameName ? vm.id.value() : "replaced-" + replaced;
    cluster.after(1000 + random.nextInt(20_000), () -> cluster.addVm(name));
  }

  private void appendFault(AppendFault fault, int millis) {
    cluster.appendFault = (vm, r) -> random.nextInt(3) == 0 ? fault : AppendFault.NONE;
    cluster.after(millis, () -> cluster.appendFault = (vm, r) -> AppendFault.NONE);
  }

  private void sendFault(SendFault fault, int millis) {
    cluster.sendFault = (vm, c) -> random.nextInt(3) == 0 ? fault : SendFault.NONE;
    cluster.after(millis, () -> cluster.sendFault = (vm, c) -> SendFault.NONE);
  }

  private void publishConcurrently() {
    long base = invariants.observer().revision();
    int change = random.nextInt();
    cluster.ask(anyVm(), TestDeclarations.publish(base, "4 3 left " + change));
    cluster.ask(anyVm(), TestDeclarations.publish(base, "4 2 right " + change));
  }

  private void disconnectWorker(VirtualVm vm, int millis) {
    WorkerId worker = TestDeclarations.worker(random.nextInt(4));
    vm.unreachableWorkers.add(worker);
    cluster.after(millis, () -> vm.unreachableWorkers.remove(worker));
  }

  private void makeWorkerUncooperative(int millis) {
    FakeWorker worker = cluster.workers.get(TestDeclarations.worker(random.nextInt(4)));
    worker.refusing = true;
    worker.ignoresCheckpoint = true;
    cluster.after(millis, () -> worker.refusing = false);
  }

  private void cancelOne() {
    List<JobState> live = invariants.observer().jobs().live();
    if (!live.isEmpty()) {
      JobId job = live.get(random.nextInt(live.size())).id();
      cluster.ask(anyVm(), new Request.Cancel(job));
    }
  }

  private void reclaimOne() {
    List<JobState> live = invariants.observer().jobs().live();
    if (!live.isEmpty()) {
      AttemptId attempt = live.get(random.nextInt(live.size())).attempt();
      cluster.scheduler.reclaim.add(attempt);
    }
  }
}
