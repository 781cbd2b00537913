package org.fescuehook.bench.tryout;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.bench.caller.CallerClient;
import org.fescuehook.bench.caller.CallerLoad;
import org.fescuehook.bench.caller.CallerOutcome;
import org.fescuehook.bench.caller.CallerRequest;
import org.fescuehook.bench.caller.ReadyBalancer;
import org.fescuehook.bench.cluster.ChildProcess;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.EntryVm;
import org.fescuehook.bench.cluster.ProcessCluster;
import org.fescuehook.bench.cluster.StandIns;
import org.fescuehook.bench.cluster.Waiting;
import org.fescuehook.standins.worker.WorkerEvent;

/** The cluster of the tour, the entry VMs that are left of it, and what callers do with them. */
public final class TourCluster {
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final long REQUEST_TIMEOUT_MILLIS = 10_000;
  private static final int ACCEPTED = 202;
  private static final int OK = 200;

  private final ProcessCluster processes;
  private final CallerClient client;
  private final List<EntryVm> vms = new ArrayList<>();

  /** Creates the cluster around processes, with a client for requests. */
  public TourCluster(ProcessCluster processes, CallerClient client) {
    this.processes = processes;
    this.client = client;
  }

  /** Returns the processes. */
  public ProcessCluster processes() {
    return processes;
  }

  /** Returns the stand-ins. */
  public StandIns standIns() {
    return processes.standIns();
  }

  /** Returns the VMs that are left. */
  public List<EntryVm> vms() {
    return vms;
  }

  /** Returns one of the VMs that are left. */
  public EntryVm vm(int index) {
    return vms.get(index);
  }

  /** Starts so many VMs and waits until they listen. */
  public void startVms(int count) throws ClusterException, InterruptedException {
    List<ChildProcess> launched = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      launched.add(processes.launchEntry("entry-" + i, i));
    }
    for (ChildProcess process : launched) {
      vms.add(processes.awaitEntry(process));
    }
  }

  long countReady() throws InterruptedException {
    long ready = 0;
    for (EntryVm vm : vms) {
      ready += vm.ready() ? 1 : 0;
    }
    return ready;
  }

  /** Waits until each VM is ready and serves a request. */
  public void awaitService() throws ClusterException, InterruptedException {
    for (EntryVm vm : vms) {
      vm.awaitReady(LIMIT);
      Waiting.until(
          "serve a request",
          vm.name(),
          LIMIT,
          () -> Optional.of(send(vm, "/warm", Map.of())).filter(o -> o.status() == OK));
    }
  }

  /** Starts callers of all VMs that are left; each request may run once at most. */
  public CallerLoad startLoad(String name, long runMillis) {
    Map<String, String> headers = Map.of("Organisation", "bench");
    CallerLoad.Kind kind = new CallerLoad.Kind(name, 6, runMillis, headers);
    CallerLoad load = new CallerLoad(client, new ReadyBalancer(vms), kind);
    load.start();
    return load;
  }

  /** Sends one request, of which the executor answers the body, which is the path. */
  public CallerOutcome.Answered send(EntryVm vm, String path, Map<String, String> headers)
      throws ClusterException {
    Map<String, String> all = new HashMap<>(headers);
    all.put("Organisation", "bench");
    byte[] body = path.getBytes(StandardCharsets.UTF_8);
    var request = new CallerRequest("POST", "/requests" + path, all, body, REQUEST_TIMEOUT_MILLIS);
    CallerOutcome outcome = client.send(vm.service(), request).join();
    if (outcome instanceof CallerOutcome.Answered answered) {
      return answered;
    }
    throw new ClusterException("send " + path, vm.name(), outcome.toString());
  }

  /** Submits a gang job and returns its id. */
  public String submit(EntryVm vm, int members, String command)
      throws ClusterException, InterruptedException {
    var answer = vm.jobs().post("/jobs", job(members, command));
    if (answer.status() != ACCEPTED) {
      throw new ClusterException("submit", vm.name(), answer.toString());
    }
    return answer.body().path("job").asText();
  }

  /** Returns the document of a submission. */
  public static Map<String, Object> job(int members, String command) {
    return Map.of(
        "organisation", "bench",
        "members", members,
        "accelerators", 2,
        "cores", 4,
        "memoryMegabytes", 8192,
        "maxRacks", 1,
        "runTimeSeconds", 10,
        "command", command);
  }

  /** Waits for the end of a job and returns its state then. */
  public String awaitEnd(EntryVm vm, String job) throws ClusterException, InterruptedException {
    var answer = vm.jobs().get("/jobs/" + job + "?wait-ms=" + LIMIT.toMillis());
    return answer.body().path("state").asText("no state: " + answer);
  }

  /** Returns how often a member of a job was started. */
  public long started(String job) throws ClusterException, InterruptedException {
    return standIns().leaseEvents().stream()
        .filter(e -> e.job().equals(job) && e.kind() == WorkerEvent.Kind.STARTED)
        .count();
  }
}
