package org.fescuehook.bench.tryout;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehook.bench.caller.CallerClient;
import org.fescuehook.bench.caller.CallerLoad;
import org.fescuehook.bench.caller.CallerLoad.Sent;
import org.fescuehook.bench.caller.CallerOutcome;
import org.fescuehook.bench.caller.CallerRequest;
import org.fescuehook.bench.caller.ReadyBalancer;
import org.fescuehook.bench.cluster.ChildProcess;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.EntryVm;
import org.fescuehook.bench.cluster.ProcessCluster;
import org.fescuehook.bench.cluster.Waiting;
import org.fescuehook.bench.outcome.OutcomeTable;
import org.fescuehook.standins.executor.RequestRun;
import org.fescuehook.standins.worker.WorkerEvent;

/** The steps of the tour, in order. */
final class Tour {
  private static final Duration READY_LIMIT = Duration.ofSeconds(20);
  private static final Duration TAKE_OVER_LIMIT = Duration.ofSeconds(10);
  private static final Duration STOP_LIMIT = Duration.ofSeconds(30);
  private static final long IN_FORCE_MILLIS = 12_000;
  private static final long PARTIAL_MILLIS = 8_000;
  private static final long NO_REVISION = -1;

  private final ProcessCluster cluster;
  private final CallerClient client;
  private final OutcomeTable table;
  private final List<EntryVm> vms = new ArrayList<>();

  Tour(ProcessCluster cluster, CallerClient client, OutcomeTable table) {
    this.cluster = cluster;
    this.client = client;
    this.table = table;
  }

  void run() throws InterruptedException {
    table.attempt("three entry VMs start", this::startVms);
    if (vms.isEmpty()) {
      return;
    }
    table.attempt("configuration", this::publish);
    table.attempt("two operators at once", this::raceOperators);
    table.attempt("requests", this::sendRequests);
    table.attempt("request id twice", this::repeatRequestId);
    table.attempt("gang job", this::runGang);
    table.attempt("impossible job", this::refuseImpossible);
    table.attempt("kill of the deciding VM", this::killOwner);
    table.attempt("graceful stop under load", this::stopGracefully);
  }

  private void startVms() throws ClusterException, InterruptedException {
    List<ChildProcess> processes = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      processes.add(cluster.launchEntry("entry-" + i, i));
    }
    for (ChildProcess process : processes) {
      vms.add(cluster.awaitEntry(process));
    }
    table.addEqual("entry VMs that listen", 3, vms.size());
  }

  private void publish() throws ClusterException, InterruptedException {
    String declarations = cluster.declarations();
    var published =
        Waiting.until(
            "publish",
            "entry-1",
            READY_LIMIT,
            () -> Optional.of(vms.get(0).publish(NO_REVISION, declarations)).filter(a -> a.status() == 200));
    long start = System.nanoTime();
    long revision = published.body().path("revision").asLong();
    for (EntryVm vm : vms) {
      Waiting.until(
          "read revision", vm.name(), READY_LIMIT, () -> vm.revision().filter(r -> r == revision));
    }
    table.addWithin("configuration in force at all VMs", IN_FORCE_MILLIS, millisSince(start));
    for (EntryVm vm : vms) {
      vm.awaitReady(READY_LIMIT);
    }
    table.addEqual("VMs ready", 3L, countReady());
  }

  private void raceOperators() throws ClusterException, InterruptedException {
    long base = vms.get(0).revision().orElse(NO_REVISION);
    String changed = cluster.declarations().replace("weight = 1\n", "weight = 2\n");
    var first = vms.get(0).publish(base, changed);
    var second = vms.get(1).publish(base, changed);
    table.addEqual("two publications on one base", "200, 409", first.status() + ", " + second.status());
    table.addEqual(
        "the conflict names the winner",
        first.body().path("revision").asLong(),
        second.body().path("winner").asLong());
  }

  private void sendRequests() throws InterruptedException, ClusterException {
    awaitSlots();
    CallerLoad load = load("plain", 6, 2, Map.of("Organisation", "bench"), vms);
    Thread.sleep(2000);
    load.stop();
    judge("requests", load);
  }

  /** Waits until each VM has a share of the executors' slots. */
  private void awaitSlots() throws ClusterException, InterruptedException {
    for (EntryVm vm : vms) {
      Waiting.until(
          "serve a request",
          vm.name(),
          READY_LIMIT,
          () -> Optional.of(send(vm, "/warm", Map.of())).filter(o -> o.status() == 200));
    }
  }

  private void repeatRequestId() throws ClusterException, InterruptedException {
    Map<String, String> headers = Map.of("Request-Id", "charge-1");
    var first = send(vms.get(0), "/charge?ms=50", headers);
    var second = send(vms.get(1), "/charge?ms=50", headers);
    table.addEqual("request id sent to two VMs", "200, 200", first.status() + ", " + second.status());
    table.addEqual("answers to one request id", first.text(), second.text());
    long runs = cluster.standIns().runs().stream().filter(r -> r.path().equals("/charge")).count();
    table.addEqual("runs of one request id", 1L, runs);
  }

  private void runGang() throws ClusterException, InterruptedException {
    String job = submit(vms.get(0), 4, "run:1000");
    var ended = vms.get(1).jobs().get("/jobs/" + job + "?wait-ms=20000").body();
    table.addEqual("gang job, asked at another VM", "finished", ended.path("state").asText());
    table.addEqual("members started", 4L, started(job));
    table.addEqual("faults of gangs", List.of(), cluster.standIns().audit(PARTIAL_MILLIS));
  }

  private void refuseImpossible() throws ClusterException, InterruptedException {
    var answer = vms.get(0).jobs().post("/jobs", job(64, "run:1"));
    table.add(
        "job that can never run",
        "refused, ran: no",
        answer.status() + " " + answer.body().path("reason").asText(),
        answer.status() >= 400 && answer.body().path("ran").asText().equals("no"));
  }

  private void killOwner() throws ClusterException, InterruptedException {
    String job = submit(vms.get(0), 4, "run:8000");
    Waiting.until(
        "start gang",
        job,
        READY_LIMIT,
        () -> Optional.of(started(job)).filter(n -> n == 4L));
    String owner = vms.get(0).owner();
    EntryVm victim = vms.stream().filter(vm -> vm.name().equals(owner)).findFirst().orElseThrow();
    List<EntryVm> others = vms.stream().filter(vm -> vm != victim).toList();
    CallerLoad load = load("kill", 6, 20, Map.of("Organisation", "bench"), vms);
    Thread.sleep(500);
    long start = System.nanoTime();
    victim.process().kill();
    vms.remove(victim);
    String next =
        Waiting.until(
            "take over",
            others.get(0).name(),
            TAKE_OVER_LIMIT,
            () -> Optional.of(others.get(0).owner()).filter(o -> !o.isEmpty() && !o.equals(owner)));
    table.add("another VM decides", "not " + owner, next + " after " + millisSince(start) + " ms", true);
    cluster.takeOffList(victim);
    Thread.sleep(1000);
    load.stop();
    judgeFaults("kill -9", load, victim);
    var ended = others.get(0).jobs().get("/jobs/" + job + "?wait-ms=30000").body();
    table.addEqual("gang that ran through the kill", "finished", ended.path("state").asText());
    table.addEqual("members started of it", 4L, started(job));
    String after = submit(others.get(1), 2, "run:200");
    var done = others.get(0).jobs().get("/jobs/" + after + "?wait-ms=20000").body();
    table.addEqual("job submitted after the kill", "finished", done.path("state").asText());
    table.addEqual("faults of gangs after the kill", List.of(), cluster.standIns().audit(PARTIAL_MILLIS));
  }

  private void stopGracefully() throws ClusterException, InterruptedException {
    EntryVm leaving = vms.get(0);
    CallerLoad load = load("stop", 6, 20, Map.of("Organisation", "bench"), vms);
    Thread.sleep(500);
    long start = System.nanoTime();
    leaving.process().terminate();
    OptionalInt code = leaving.process().awaitExit(STOP_LIMIT);
    long millis = millisSince(start);
    Thread.sleep(500);
    load.stop();
    vms.remove(leaving);
    table.add("exit code of the stopped VM", "0", code, code.equals(OptionalInt.of(0)));
    table.addWithin("time of the graceful stop", STOP_LIMIT.toMillis(), millis);
    judge("graceful stop", load);
    table.addEqual("VMs ready after it", 1L, countReady());
  }

  private void judge(String name, CallerLoad load) throws ClusterException, InterruptedException {
    List<Sent> sent = load.sent();
    long whole = sent.stream().filter(Sent::whole).count();
    table.add(
        name + ": answered whole and right",
        "all of " + sent.size(),
        whole + ", p50 " + micros(load, 50) + " us, p99 " + micros(load, 99) + " us" + others(sent),
        whole == sent.size() && whole > 0);
    judgeRuns(name, sent);
  }

  private void judgeFaults(String name, CallerLoad load, EntryVm victim)
      throws ClusterException, InterruptedException {
    List<Sent> sent = load.sent();
    List<Sent> elsewhere = sent.stream().filter(s -> !s.to().equals(victim.service())).toList();
    long right = elsewhere.stream().filter(s -> s.whole() || s.notRun()).count();
    table.add(
        name + ": at the other VMs, whole or refused as not run",
        "all of " + elsewhere.size(),
        right + others(elsewhere),
        right == elsewhere.size() && right > 0);
    judgeRuns(name, sent);
  }

  private void judgeRuns(String name, List<Sent> sent)
      throws ClusterException, InterruptedException {
    Map<String, Integer> runs = new HashMap<>();
    for (RequestRun run : cluster.standIns().runs()) {
      runs.merge(run.path(), 1, Integer::sum);
    }
    long doubled = sent.stream().filter(s -> runs.getOrDefault(s.path(), 0) > 1).count();
    long belied = sent.stream().filter(s -> s.notRun() && runs.containsKey(s.path())).count();
    table.addEqual(name + ": run twice", 0L, doubled);
    table.addEqual(name + ": said not run, but run", 0L, belied);
    table.addEqual(name + ": answered by another's answer", 0L, sent.stream().filter(Sent::foreign).count());
  }

  private static String others(List<Sent> sent) {
    Map<String, Long> kinds =
        sent.stream()
            .filter(s -> !s.whole())
            .collect(Collectors.groupingBy(s -> describe(s.outcome()), Collectors.counting()));
    return kinds.isEmpty() ? "" : ", others " + kinds;
  }

  private static String describe(CallerOutcome outcome) {
    return switch (outcome) {
      case CallerOutcome.Answered a -> a.status() + " " + a.text();
      case CallerOutcome.Cut cut -> cut.toString();
      case CallerOutcome.Unanswered unanswered -> unanswered.toString();
      case CallerOutcome.NotSent notSent -> notSent.toString();
    };
  }

  private CallerLoad load(
      String name, int callers, long millis, Map<String, String> headers, List<EntryVm> over) {
    ReadyBalancer balancer = new ReadyBalancer(over);
    CallerLoad load =
        new CallerLoad(client, balancer, new CallerLoad.Kind(name, callers, millis, headers));
    load.start();
    return load;
  }

  private CallerOutcome.Answered send(EntryVm vm, String path, Map<String, String> headers)
      throws ClusterException {
    Map<String, String> all = new HashMap<>(headers);
    all.put("Organisation", "bench");
    byte[] body = path.getBytes(StandardCharsets.UTF_8);
    CallerRequest request = new CallerRequest("POST", "/requests" + path, all, body, 10_000);
    CallerOutcome outcome = client.send(vm.service(), request).join();
    if (outcome instanceof CallerOutcome.Answered answered) {
      return answered;
    }
    throw new ClusterException("send " + path, vm.name(), outcome.toString());
  }

  private String submit(EntryVm vm, int members, String command)
      throws ClusterException, InterruptedException {
    var answer = vm.jobs().post("/jobs", job(members, command));
    if (answer.status() != 202) {
      throw new ClusterException("submit", vm.name(), answer.toString());
    }
    return answer.body().path("job").asText();
  }

  private static Map<String, Object> job(int members, String command) {
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

  private long started(String job) throws ClusterException, InterruptedException {
    Set<WorkerEvent.Kind> starts = Set.of(WorkerEvent.Kind.STARTED);
    return cluster.standIns().leaseEvents().stream()
        .filter(e -> e.job().equals(job) && starts.contains(e.kind()))
        .count();
  }

  private long countReady() throws InterruptedException {
    long ready = 0;
    for (EntryVm vm : vms) {
      ready += vm.ready() ? 1 : 0;
    }
    return ready;
  }

  private static long micros(CallerLoad load, double percentile) {
    return load.nanos().getValueAtPercentile(percentile) / 1000;
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }
}
