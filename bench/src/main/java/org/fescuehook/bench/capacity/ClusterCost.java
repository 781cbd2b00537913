package org.fescuehook.bench.capacity;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.fescuehook.bench.cluster.ChildProcess;
import org.fescuehook.bench.cluster.ClusterException;
import org.fescuehook.bench.cluster.ClusterSizes;
import org.fescuehook.bench.cluster.EntryVm;
import org.fescuehook.bench.cluster.HttpCalls;
import org.fescuehook.bench.cluster.ProcessCluster;
import org.fescuehook.bench.cluster.Waiting;

/** Measures entry VMs as processes, with stand-in workers that run tasks without end. */
final class ClusterCost {
  private static final Duration LIMIT = Duration.ofSeconds(90);
  private static final int MEMBERS = 64;

  /** Cores of a task, so that seven tasks fill a worker of 64 cores. */
  private static final int CORES = 9;

  private static final String HEAP = "jvm_memory_used_bytes{area=\"heap\"";

  private final Path programs;
  private final Duration window;

  /**
   * Creates the measurement.
   *
   * @param window time over which processes are metered
   */
  ClusterCost(Path programs, Duration window) {
    this.programs = programs;
    this.window = window;
  }

  /**
   * Cost of one process.
   *
   * @param owner whether it decided
   * @param corePercent share of one core, in percent
   * @param kilobytesPerSecond bytes received and sent, in units of 1,000 a second
   * @param heapMegabytes least heap in use seen, in units of 2^20 bytes: live data and little else
   * @param residentMegabytes memory of the process, in units of 2^20 bytes
   */
  record Cost(
      boolean owner,
      double corePercent,
      double kilobytesPerSecond,
      double heapMegabytes,
      double residentMegabytes) {}

  /** Returns the cost of each entry VM, the owner's first. */
  List<Cost> of(int vms, int workers, int tasks) throws Exception {
    ClusterSizes sizes = new ClusterSizes(3, workers, 16, 11, "-Xmx128m", Map.of());
    ProcessCluster cluster = new ProcessCluster(programs, sizes, false);
    try {
      List<EntryVm> entries = start(cluster, vms);
      submit(entries.getFirst(), tasks);
      return measure(entries);
    } finally {
      cluster.close();
    }
  }

  private static List<EntryVm> start(ProcessCluster cluster, int vms) throws Exception {
    List<ChildProcess> launched = new ArrayList<>();
    for (int i = 1; i <= vms; i++) {
      launched.add(cluster.launchEntry("entry-" + i, i));
    }
    List<EntryVm> entries = new ArrayList<>();
    for (ChildProcess process : launched) {
      entries.add(cluster.awaitEntry(process));
    }
    HttpCalls.Answer answer =
        Waiting.until("publish", "entry-1", LIMIT, () -> publish(cluster, entries));
    if (answer.status() != 200) {
      throw new ClusterException("publish", "entry-1", answer.body().toString());
    }
    for (EntryVm entry : entries) {
      entry.awaitReady(LIMIT);
    }
    return entries;
  }

  private static Optional<HttpCalls.Answer> publish(ProcessCluster cluster, List<EntryVm> entries)
      throws ClusterException, InterruptedException {
    HttpCalls.Answer answer = entries.getFirst().publish(-1, "bench", cluster.declarations());
    return answer.status() == 503 ? Optional.empty() : Optional.of(answer);
  }

  private static void submit(EntryVm entry, int tasks) throws Exception {
    List<String> jobs = new ArrayList<>();
    for (int left = tasks; left > 0; left -= MEMBERS) {
      Map<String, Object> job =
          Map.of(
              "organisation",
              "bench",
              "members",
              Math.min(MEMBERS, left),
              "accelerators",
              0,
              "cores",
              CORES,
              "memoryMegabytes",
              1024,
              "runTimeSeconds",
              14_400,
              "command",
              "forever");
      jobs.add(Waiting.until("submit", entry.name(), LIMIT, () -> accepted(entry, job)));
    }
    for (String job : jobs) {
      Waiting.until("run " + job, entry.name(), LIMIT, () -> running(entry, job));
    }
  }

  private static Optional<String> accepted(EntryVm entry, Map<String, Object> job)
      throws ClusterException, InterruptedException {
    HttpCalls.Answer answer = entry.jobs().post("/jobs", job);
    return answer.status() == 202
        ? Optional.of(answer.body().path("job").asText())
        : Optional.empty();
  }

  private static Optional<Boolean> running(EntryVm entry, String job)
      throws ClusterException, InterruptedException {
    String state = entry.jobs().get("/jobs/" + job).body().path("state").asText();
    return state.equals("running") ? Optional.of(true) : Optional.empty();
  }

  private List<Cost> measure(List<EntryVm> entries) throws Exception {
    String owner = entries.getFirst().owner();
    List<ProcessMeter.Reading> before = read(entries);
    double[] heap = new double[entries.size()];
    Arrays.fill(heap, Double.MAX_VALUE);
    long end = System.nanoTime() + window.toNanos();
    try (HttpClient client = HttpClient.newHttpClient()) {
      while (System.nanoTime() < end) {
        LockSupport.parkNanos(Duration.ofSeconds(2).toNanos());
        for (int i = 0; i < heap.length; i++) {
          heap[i] = Math.min(heap[i], heapMegabytes(client, entries.get(i)));
        }
      }
    }
    List<ProcessMeter.Reading> after = read(entries);
    List<Cost> costs = new ArrayList<>();
    for (int i = 0; i < heap.length; i++) {
      Cost cost = cost(entries.get(i).name().equals(owner), before.get(i), after.get(i), heap[i]);
      costs.add(cost.owner() ? 0 : costs.size(), cost);
    }
    return costs;
  }

  private static Cost cost(
      boolean owner, ProcessMeter.Reading before, ProcessMeter.Reading after, double heap) {
    return new Cost(
        owner,
        before.corePercent(after),
        before.kilobytesPerSecond(after),
        heap,
        after.residentMegabytes());
  }

  private static List<ProcessMeter.Reading> read(List<EntryVm> entries) throws IOException {
    List<ProcessMeter.Reading> readings = new ArrayList<>();
    for (EntryVm entry : entries) {
      readings.add(new ProcessMeter(entry.process().pid()).read());
    }
    return readings;
  }

  private static double heapMegabytes(HttpClient client, EntryVm entry)
      throws IOException, InterruptedException {
    URI uri = URI.create("http:/" + entry.operatorAddress() + "/metrics");
    String text = client.send(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString()).body();
    double bytes = 0;
    for (String line : text.split("\n")) {
      if (line.startsWith(HEAP)) {
        bytes += Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
      }
    }
    return bytes / (1 << 20);
  }
}
