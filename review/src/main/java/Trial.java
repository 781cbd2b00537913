import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

/**
 * A small deployment on loopback: the stand-in of the store, executors, and VMs of the scheduler as
 * separate processes. Ends all of them when it is closed.
 */
final class Trial implements AutoCloseable {

  static final String HOST = "jobs.example";
  static final String PREFIX = "/lohu930/";
  static final String KEY = "d4a3hwrr6x73d3zji9n7";

  /** A queue of priority 0, and the key of another tenant, to which nothing is guaranteed. */
  static final String URGENT_PREFIX = "/pufi791/";

  static final String OTHER_KEY = "3hh2b9wu3fexd9dnn2ct";

  /** Accelerators that are guaranteed to the tenant of the first key. */
  static final int GUARANTEED = 160;

  /** The work of a step's tasks, by ID.K.STEP. */
  private final Map<String, Executor.Work> works = new ConcurrentHashMap<>();

  final Record record;
  final Store store;
  final List<Executor> executors = new ArrayList<>();
  final List<Vm> vms = new ArrayList<>();
  private final Path folder;
  private volatile boolean closed;

  Trial(Path repository, Path recordFile, int vmCount, int executorCount) throws Exception {
    this.record = new Record(recordFile);
    this.store = new Store(record);
    this.folder = Files.createTempDirectory("review");
    String[] zones = {"coimbra-a", "aveiro-b", "leiria-c"};
    store.put("keyed.op", "config", configuration());
    for (int i = 0; i < executorCount; i++) {
      executors.add(
          new Executor("i-7f3a91c2%02x".formatted(i), zones[i % 3], rack(i), 64_000, 262_144,
              store, record, this::work));
    }
    executors.forEach(Executor::beat);
    Thread.ofPlatform().daemon().start(this::tick);
    Thread.ofPlatform().daemon().start(this::beats);
    Map<String, String> site = site();
    for (int i = 0; i < vmCount; i++) {
      vms.add(new Vm("edge-" + (i + 1), zones[i % 3], repository, folder, site));
    }
    record.note(vmCount + " VMs and " + executorCount + " executors of 64 cores and 256 GB started");
  }

  /** Racks hold up to eight executors of a zone, so a zone of eleven has one rack of three. */
  static String rack(int executor) {
    return "r" + (executor % 3 + 1) + "-" + (executor / 24 + 1);
  }

  private Map<String, String> site() {
    Map<String, String> site = new HashMap<>();
    site.put("platform.address", store.address());
    site.put("limits.cpuShare", "0.75");
    site.put("limits.cores", "1");
    site.put("bounds.holdMaxMs", "6000");
    site.put("bounds.status_s", "120");
    site.put("bounds.checkpointS", "0.5");
    site.put("bounds.restoreMs", "250");
    site.put("bounds.stopTimeoutMs", "200");
    site.put("bounds.reclaimMs", "2700");
    site.put("bounds.maintenanceS", "2");
    site.put("bounds.noticeMs", "4500");
    site.put("bounds.leaseMs", "3000");
    return site;
  }

  private static String configuration() {
    return "{\"version\":7,\"routes\":[" + route("r-ce7ejsm", PREFIX, 2, 3000, 3.0) + ","
        + route("r-zzyyjsg", URGENT_PREFIX, 0, 250, 1.5) + "],\"services\":[{\"name\":\"pool\","
        + "\"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"constraints\":true,"
        + "\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"kaje80\",\"apiKeys\":[\"" + KEY + "\"],\"priority\":1,"
        + "\"guaranteed\":{\"gpu\":" + GUARANTEED + "}},{\"name\":\"lone11\",\"apiKeys\":[\"" + OTHER_KEY
        + "\"],\"priority\":1,\"guaranteed\":{\"gpu\":0}}]}";
  }

  private static String route(String name, String prefix, int priority, int targetMillis, double factor) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix
        + "\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":" + targetMillis + ",\"priority\":"
        + priority + ",\"service\":\"pool\",\"maxAttempts\":4,\"deadlineFactor\":" + factor + ",\"public\":false}";
  }

  private Executor.Work work(String task) {
    return works.get(task.substring(0, task.lastIndexOf('.')));
  }

  private void tick() {
    while (!closed) {
      executors.forEach(Executor::advance);
      sleep(10);
    }
  }

  private void beats() {
    while (!closed) {
      sleep(1500);
      executors.forEach(Executor::beat);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits until something holds; returns whether it does within the time. */
  static boolean await(long millis, BooleanSupplier condition) {
    long until = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < until) {
      if (condition.getAsBoolean()) {
        return true;
      }
      sleep(20);
    }
    return condition.getAsBoolean();
  }

  /** Waits until all VMs are ready. */
  boolean awaitReady() {
    boolean ready = await(30_000, () -> vms.stream().allMatch(Vm::ready));
    record.note(ready ? "all VMs are ready" : "not all VMs are ready after 30 s");
    // The owner may still be reading the jobs.
    sleep(3000);
    return ready;
  }

  /** Sets the work of the tasks of a step. */
  void work(String job, int step, Executor.Work work) {
    works.put(job + ".0." + step, work);
  }

  Http.Result call(Vm vm, String method, String job, String body) {
    return call(vm, method, PREFIX + job, KEY, body);
  }

  private Http.Result call(Vm vm, String method, String path, String key, String body) {
    Map<String, String> headers =
        Map.of("Host", HOST, "Content-Type", "application/json", "Credential", key, "Deadline-Ms", "3000");
    Http.Result answer = Http.call(vm.callers, method, path, headers, body, 3000);
    record.noteFew(
        method + " " + path + " at " + vm.name + ": "
            + (answer.status() == 0 ? "no answer (" + answer.body() + ")" : answer.status() + " " + answer.body()));
    return answer;
  }

  /** Submits a job like a client: five tries, the next one at another VM. Returns the last status. */
  int submit(String job, String body) {
    return submit(PREFIX + job, KEY, body);
  }

  int submit(String path, String key, String body) {
    int status = 0;
    for (int attempt = 0; attempt < 5; attempt++) {
      Http.Result answer = call(vms.get(attempt % vms.size()), "POST", path, key, body);
      status = answer.status();
      if (status != 0 && status != 503 && status != 429 && status != 502 && status != 504) {
        return status;
      }
      sleep(1000 * Long.parseLong(answer.headers().getOrDefault("retry-after", "0")) + 100);
    }
    return status;
  }

  /** Returns the state of a job as a VM shows it; empty if there is no such answer. */
  String state(Vm vm, String job) {
    String body = call(vm, "GET", job, "").body();
    int at = body.indexOf("\"state\":\"");
    return at < 0 ? "" : body.substring(at + 9, body.indexOf('"', at + 9));
  }

  /** Writes what happened to the runs whose tasks begin with a text. */
  void noteEvents(String tasks) {
    for (Executor.Event event : events()) {
      if (event.task().startsWith(tasks)) {
        record.note(
            "  at " + event.atMillis() + " ms " + event.task() + " run " + event.run() + " " + event.kind() + " on " + event.executor());
      }
    }
  }

  /** Returns all that happened to runs, ordered by time. */
  List<Executor.Event> events() {
    List<Executor.Event> all = new ArrayList<>();
    executors.forEach(executor -> all.addAll(executor.events()));
    all.sort((one, other) -> Long.compare(one.atMillis(), other.atMillis()));
    return all;
  }

  /** Returns how many starts of tasks that begin with a text there were. */
  long starts(String tasks) {
    return events().stream().filter(event -> event.kind().equals("started") && event.task().startsWith(tasks)).count();
  }

  long count(String kind) {
    return events().stream().filter(event -> event.kind().equals(kind)).count();
  }

  int activeRuns() {
    return executors.stream().mapToInt(Executor::activeRuns).sum();
  }

  /**
   * Returns the starts that rule TWICE forbids: after a run of the task has ended done, if that end
   * is acknowledged, at whatever time, and the lease of its executor was not over between the two.
   */
  List<String> startsAfterDone() {
    List<Executor.Event> events = events();
    Map<String, Long> acknowledgedAt = new HashMap<>();
    Map<String, List<Long>> leaseOver = new HashMap<>();
    for (Executor.Event event : events) {
      switch (event.kind()) {
        case "acked done" -> acknowledgedAt.put(event.task() + "/" + event.run(), event.atMillis());
        case "lease over" -> leaseOver.computeIfAbsent(event.executor(), id -> new ArrayList<>()).add(event.atMillis());
        default -> {}
      }
    }
    record.note("leases that were over: " + leaseOver);
    Map<String, Executor.Event> done = new HashMap<>();
    List<String> found = new ArrayList<>();
    for (Executor.Event event : events) {
      Executor.Event before = done.get(event.task());
      if (event.kind().equals("started") && before != null) {
        found.add(
            event.task() + ": run " + before.run() + " ended done at " + before.atMillis() + " ms on " + before.executor()
                + " and was acknowledged; run " + event.run() + " started at " + event.atMillis() + " ms on " + event.executor());
      }
      Long acknowledged = acknowledgedAt.get(event.task() + "/" + event.run());
      if (event.kind().equals("done") && acknowledged != null) {
        boolean lapsed =
            leaseOver.getOrDefault(event.executor(), List.of()).stream()
                .anyMatch(at -> at >= event.atMillis() && at <= acknowledged);
        if (!lapsed) {
          done.putIfAbsent(event.task(), event);
        }
      }
    }
    return found;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    vms.forEach(Vm::close);
    record.note("all processes ended");
    record.close();
    if (System.getenv("KEEP") != null) {
      System.out.println("logs in " + folder);
      return;
    }
    try (var files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
