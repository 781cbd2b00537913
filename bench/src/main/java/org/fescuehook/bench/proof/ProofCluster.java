package org.fescuehook.bench.proof;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.bench.caller.CallerClient;
import org.fescuehook.bench.caller.CallerLoad;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.EntryVm;
import org.fescuehook.bench.cluster.HttpCalls.Answer;
import org.fescuehook.bench.cluster.StandIns;
import org.fescuehook.bench.cluster.Waiting;
import org.fescuehook.bench.tryout.TourCluster;
import org.fescuehook.standins.worker.WorkerEvent;

/** The cluster of one proof, and the steps that several proofs share. */
final class ProofCluster {
  static final int MEMBERS = 4;
  private static final int VMS = 3;
  private static final int CALLERS = 4;
  private static final long RUN_MILLIS = 20;
  private static final long NO_REVISION = -1;
  private static final long MAX_PARTIAL_MILLIS = 8000;
  private static final int OK = 200;
  private static final Duration LIMIT = Duration.ofSeconds(60);

  private final TourCluster tour;
  private final CallerClient client;
  private final List<CallerLoad> onceOnly = new ArrayList<>();
  private final List<CallerLoad> repeatables = new ArrayList<>();
  private final List<IdCallers> idCallers = new ArrayList<>();

  ProofCluster(TourCluster tour, CallerClient client) {
    this.tour = tour;
    this.client = client;
  }

  TourCluster tour() {
    return tour;
  }

  StandIns standIns() {
    return tour.standIns();
  }

  /** Starts the VMs and waits until they serve requests. */
  void start() throws ClusterException, InterruptedException {
    tour.startVms(VMS);
    String declarations = tour.processes().declarations();
    EntryVm first = tour.vm(0);
    Waiting.until(
        "publish",
        first.name(),
        LIMIT,
        () ->
            Optional.of(first.publish(NO_REVISION, "ana", declarations))
                .filter(a -> a.status() == OK));
    for (EntryVm vm : tour.vms()) {
      awaitReady(vm);
    }
    tour.awaitService();
  }

  /** Waits until a VM is ready; one that stays unready is told with its reason. */
  void awaitReady(EntryVm vm) throws ClusterException, InterruptedException {
    try {
      vm.awaitReady(LIMIT);
    } catch (ClusterException e) {
      String reason = vm.operator().get("/readyz").toString();
      throw new ClusterException("become ready", vm.name(), reason);
    }
  }

  Rotation rotation() {
    return new Rotation(tour.vms());
  }

  /** Starts callers without ids that send at VMs in turn. */
  CallerLoad startLoad(String name, Rotation rotation, boolean repeatable) {
    Map<String, String> headers =
        Map.of(
            "Organisation",
            "bench",
            "Repeatable",
            Boolean.toString(repeatable),
            "Request-Timeout-Ms",
            "5000");
    CallerLoad.Kind kind = new CallerLoad.Kind(name, CALLERS, RUN_MILLIS, headers);
    CallerLoad load = new CallerLoad(client, rotation, kind);
    (repeatable ? repeatables : onceOnly).add(load);
    load.start();
    return load;
  }

  /** Starts callers without ids that send at VMs that say they are ready. */
  CallerLoad startReadyLoad(String name) {
    CallerLoad load = tour.startLoad(name, RUN_MILLIS);
    onceOnly.add(load);
    return load;
  }

  /** Starts callers with ids that try again at VMs in turn. */
  IdCallers startIdCallers(String name, Rotation rotation) {
    IdCallers callers = new IdCallers(client, rotation, name, RUN_MILLIS);
    idCallers.add(callers);
    callers.start();
    return callers;
  }

  /** Stops all callers and adds what they saw. */
  void stopCallers(Evidence evidence) throws InterruptedException {
    for (CallerLoad load : onceOnly) {
      load.stop();
      evidence.addLoad(load, false);
    }
    for (CallerLoad load : repeatables) {
      load.stop();
      evidence.addLoad(load, true);
    }
    for (IdCallers callers : idCallers) {
      evidence.addRequests(callers.stop());
    }
  }

  /** Returns the VM that decides. */
  EntryVm owner() throws ClusterException, InterruptedException {
    String name = tour.vm(0).owner();
    return tour.vms().stream()
        .filter(vm -> vm.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new ClusterException("find the owner", tour.vm(0).name(), name));
  }

  /** Returns the VMs besides one. */
  List<EntryVm> others(EntryVm vm) {
    return tour.vms().stream().filter(v -> v != vm).toList();
  }

  /** Waits until a witness sees another owner. */
  void awaitOtherOwner(EntryVm witness, EntryVm former)
      throws ClusterException, InterruptedException {
    Waiting.until(
        "take over",
        witness.name(),
        LIMIT,
        () -> Optional.of(witness.owner()).filter(o -> !o.isEmpty() && !o.equals(former.name())));
  }

  /** Submits a gang and waits until all its members run. */
  String runGang(EntryVm vm, long millis) throws ClusterException, InterruptedException {
    String job = tour.submit(vm, MEMBERS, "run:" + millis);
    Waiting.until(
        "start gang", job, LIMIT, () -> Optional.of(tour.started(job)).filter(n -> n == MEMBERS));
    return job;
  }

  /** Submits a job until it is accepted, and tells how long that took. */
  String submitAfterOutage(EntryVm vm, Evidence evidence)
      throws ClusterException, InterruptedException {
    long start = System.nanoTime();
    String job =
        Waiting.until(
            "accept a job", vm.name(), LIMIT, () -> Optional.of(tour.submit(vm, 2, "run:300")));
    long millis = (System.nanoTime() - start) / 1_000_000;
    evidence.remark("a job was accepted " + millis + " ms after the log was back");
    return job;
  }

  /** Lets time pass while the cluster runs. */
  void pass(Duration time) throws ClusterException, InterruptedException {
    long end = System.nanoTime() + time.toNanos();
    Waiting.until(
        "let time pass",
        "bench",
        time.plus(LIMIT),
        () -> Optional.of(System.nanoTime()).filter(now -> now >= end));
  }

  /** Expects that a job ends well within a minute, as a VM sees it. */
  void expectFinished(String what, EntryVm vm, String job, Evidence evidence)
      throws InterruptedException {
    try {
      Waiting.until(
          "finish " + what,
          vm.name(),
          LIMIT,
          () -> Optional.of(vm.jobs().get("/jobs/" + job)).filter(ProofCluster::finished));
    } catch (ClusterException e) {
      evidence.breach(e.getMessage() + ", last " + lastAnswer(vm, job));
    }
  }

  /** Expects that no gang was doubled, in part or on a worker that was full. */
  void expectCleanAudit(Evidence evidence) throws ClusterException, InterruptedException {
    evidence.expect("audit of gangs", List.of(), standIns().audit(MAX_PARTIAL_MILLIS));
  }

  /** Returns how many members of a job were started and have not ended. */
  long running(String job) throws ClusterException, InterruptedException {
    List<WorkerEvent> events = standIns().leaseEvents();
    List<String> started =
        events.stream()
            .filter(e -> e.job().equals(job) && e.kind() == WorkerEvent.Kind.STARTED)
            .map(WorkerEvent::lease)
            .toList();
    long ended =
        events.stream()
            .filter(e -> started.contains(e.lease()) && ends(e.kind()))
            .map(WorkerEvent::lease)
            .distinct()
            .count();
    return started.size() - ended;
  }

  private static boolean ends(WorkerEvent.Kind kind) {
    return switch (kind) {
      case REFUSED, GRANTED, STARTED -> false;
      case FINISHED, FAILED, CHECKPOINTED, RELEASED, LAPSED -> true;
    };
  }

  private static boolean finished(Answer answer) {
    return answer.body().path("state").asText().equals("finished");
  }

  private static String lastAnswer(EntryVm vm, String job) throws InterruptedException {
    try {
      return vm.jobs().get("/jobs/" + job).toString();
    } catch (ClusterException e) {
      return e.getMessage();
    }
  }
}
