import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A store, executors, and VMs started by the command and the settings of the deploy file. */
final class Cluster implements AutoCloseable {

  static final String SERVICE = "pool";
  static final String SMALL_SERVICE = "small-pool";

  /** How the ids of the jobs begin that are handed in on queues which need advice. */
  static final String ADVISED_JOBS = "ad";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String HOST = "jobs.example";
  private static final String PREFIX = "/jobs/";
  private static final String URGENT_PREFIX = "/urgent/";
  private static final String SMALL_PREFIX = "/small/";
  private static final String KEY = "key-1";
  private static final int CALL_MILLIS = 3000;
  private static final int ATTEMPTS = 5;
  private static final int RETRY_MILLIS = 1000;
  private static final int LOWEST_PORT = 12_000;
  private static final int HIGHEST_PORT = 32_000;
  private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

  private final Path directory;
  private final Record record;
  private final Store store = new Store();
  private final Advice advice;
  private final List<Executor> executors = new ArrayList<>();
  private final List<Vm> vms = new ArrayList<>();

  /** A VM and its ports. */
  final class Vm {
    private final String name;
    private final int callers;
    private final int ready;
    private final int metrics;
    private final Path settings;
    private Process process;

    private Vm(int number) throws IOException {
      name = "vm-" + number;
      int[] ports = freePorts(4);
      callers = ports[0];
      ready = ports[1];
      metrics = ports[3];
      settings = directory.resolve(name + ".ini");
      String zone = ZONES.get(number % ZONES.size());
      Files.writeString(settings, template(fields(name, zone, ports)));
    }

    String name() {
      return name;
    }

    int callers() {
      return callers;
    }

    private void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(deployed("run").split(" "));
      builder.environment().put("FESCUEHOOK_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(directory.resolve(name + ".log").toFile());
      process = builder.start();
      record.write(name + " started, process " + process.pid());
    }

    /** Ends the process by SIGKILL. */
    void kill() throws InterruptedException {
      process.destroyForcibly();
      process.waitFor(10, TimeUnit.SECONDS);
      record.write(name + " killed");
    }

    private boolean isReady() {
      return get(ready, "/-/readyz").filter(answer -> answer.status() == 200).isPresent();
    }

    /** Returns whether this VM says that it is the owner. */
    boolean owns() {
      return get(metrics, "/status")
          .filter(answer -> answer.text().contains("role: owner"))
          .isPresent();
    }

    private Optional<Http.Response> get(int port, String path) {
      try (Http.Client client = new Http.Client(port, 1000)) {
        client.send(new Http.Request("GET", path, Map.of("Host", "127.0.0.1"), new byte[0]));
        return Optional.of(client.receive());
      } catch (IOException e) {
        return Optional.empty();
      }
    }
  }

  Cluster(Path directory, Record record, int vmCount) throws IOException {
    this.directory = directory;
    this.record = record;
    this.advice = new Advice(record);
    store.put("keyed.op", "config", configuration());
    for (int i = 0; i < vmCount; i++) {
      vms.add(new Vm(i));
    }
  }

  /** Adds an executor; all with the same kind share the label that names it. */
  Executor addExecutor(String kind, int rack) throws IOException {
    return addExecutor(kind, rack, SERVICE);
  }

  /** Adds an executor of a service. */
  Executor addExecutor(String kind, int rack, String service) throws IOException {
    int number = executors.size();
    Executor executor =
        new Executor(
            "exec-" + number,
            List.of(kind, "rack-" + rack),
            service,
            ZONES.get(number % ZONES.size()),
            store,
            advice,
            record);
    executors.add(executor);
    return executor;
  }

  List<Executor> executors() {
    return executors;
  }

  List<Vm> vms() {
    return vms;
  }

  /** Starts all VMs and waits until they are ready. */
  void start() throws Exception {
    for (Vm vm : vms) {
      vm.start();
    }
    awaitCondition(40, "all VMs ready", () -> vms.stream().allMatch(Vm::isReady));
    awaitCondition(10, "an owner", () -> vms.stream().anyMatch(Vm::owns));
    Thread.sleep(1500);
  }

  Vm owner() {
    return vms.stream().filter(Vm::owns).findFirst().orElseThrow();
  }

  interface Condition {
    boolean holds() throws Exception;
  }

  /** Waits for a condition; one that does not come means that the case cannot be judged. */
  void awaitCondition(double seconds, String what, Condition condition) throws Exception {
    double until = record.seconds() + seconds;
    while (!condition.holds()) {
      if (record.seconds() > until) {
        throw new IllegalStateException("not within " + seconds + " s: " + what);
      }
      Thread.sleep(50);
    }
  }

  private static Map<String, Object> configuration() {
    List<Map<String, Object>> routes =
        List.of(
            route("queue-1", PREFIX, SERVICE, 1),
            route("queue-0", URGENT_PREFIX, SERVICE, 0),
            route("queue-small", SMALL_PREFIX, SMALL_SERVICE, 1),
            advised(route("advised-1", "/advised/", SERVICE, 1)),
            advised(route("advised-0", "/advised-urgent/", SERVICE, 0)));
    return Map.of(
        "version", 1,
        "routes", routes,
        "services",
            List.of(
                Map.of("name", SERVICE, "constraints", true),
                Map.of("name", SMALL_SERVICE, "constraints", true)),
        "limits", Map.of(),
        "tenants", List.of(Map.of("name", "organisation-1", "apiKeys", List.of(KEY))));
  }

  private static Map<String, Object> advised(Map<String, Object> route) {
    route.put(
        "recommendation",
        Map.of(
            "decisionMs", Advice.DECISION_MILLIS,
            "periodMs", Advice.PERIOD_MILLIS,
            "validityMs", Advice.VALIDITY_MILLIS));
    return route;
  }

  private static Map<String, Object> route(
      String name, String prefix, String service, int priority) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", name);
    route.put("host", HOST);
    route.put("pathPrefix", prefix);
    route.put("service", service);
    route.put("priority", priority);
    route.put("maxAttempts", 3);
    route.put("deadlineFactor", 3.0);
    route.put("targetLatencyMs", 1000);
    return route;
  }

  /**
   * Returns a request of a client.
   *
   * @param job id of the job; one of another queue than the usual one with its prefix
   */
  static Http.Request request(String method, String job, byte[] body) {
    Map<String, String> headers =
        Map.of("Host", HOST, "Credential", KEY, "Deadline-Ms", String.valueOf(CALL_MILLIS));
    return new Http.Request(method, job.startsWith("/") ? job : PREFIX + job, headers, body);
  }

  /** Sends one call and returns its answer; empty if none came. */
  Optional<Http.Response> call(Vm vm, String method, String job, byte[] body) {
    try (Http.Client client = new Http.Client(vm.callers(), CALL_MILLIS + 500)) {
      client.send(request(method, job, body));
      Http.Response answer = client.receive();
      record.write(
          vm.name() + " " + method + " " + job + " -> " + answer.status() + " " + answer.text());
      return Optional.of(answer);
    } catch (IOException e) {
      record.write(vm.name() + " " + method + " " + job + " -> no answer: " + e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Submits a job of one step, again if it is refused or not answered. It has to be accepted, or
   * the case cannot be judged.
   */
  void submit(Vm vm, String job, Map<String, Object> step, long workMillis) throws Exception {
    Map<String, Object> body = Map.of("spec", "ms=" + workMillis, "steps", List.of(step));
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      Optional<Http.Response> answer = call(vm, "POST", job, JSON.writeValueAsBytes(body));
      if (answer.isPresent() && answer.get().status() == 200) {
        return;
      }
      Thread.sleep(RETRY_MILLIS);
    }
    throw new IllegalStateException("job " + job + " was not accepted");
  }

  /** Returns a step of tasks with 5.6 cores, 16 GB and an accelerator each. */
  static Map<String, Object> step(int count, long estimateMillis) {
    Map<String, Object> step = new LinkedHashMap<>();
    step.put("count", count);
    step.put("cpu", 5600);
    step.put("memMb", 16000);
    step.put("gpu", 1);
    step.put("estimateMs", estimateMillis);
    return step;
  }

  /** Returns the state that a VM shows of a job; empty if it shows none. */
  Optional<String> state(Vm vm, String job) throws IOException {
    Optional<Http.Response> answer = call(vm, "GET", job, new byte[0]);
    if (answer.isEmpty() || answer.get().status() != 200) {
      return Optional.empty();
    }
    return Optional.of(JSON.readTree(answer.get().body()).path("state").asText());
  }

  /** Returns how many jobs a VM shows as pending; empty if it answers otherwise. */
  Optional<Integer> pending(Vm vm) throws IOException {
    Optional<Http.Response> answer = call(vm, "GET", "", new byte[0]);
    if (answer.isEmpty() || answer.get().status() != 200) {
      return Optional.empty();
    }
    return Optional.of(JSON.readTree(answer.get().body()).path("pending").asInt());
  }

  /** Returns free ports below those that the system gives to outgoing connections. */
  private static int[] freePorts(int count) throws IOException {
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      while (ports[i] == 0) {
        int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
        try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
          ports[i] = free.getLocalPort();
        } catch (BindException e) {
          // Another one is tried.
        }
      }
    }
    return ports;
  }

  private Map<String, String> fields(String name, String zone, int[] ports) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("nodeName", name);
    fields.put("zone", zone);
    fields.put("listenAddrs.frontend", "127.0.0.1:" + ports[0]);
    fields.put("listenAddrs.ready", "127.0.0.1:" + ports[1]);
    fields.put("ip", "127.0.0.1");
    fields.put("internalPorts.0", String.valueOf(ports[2]));
    fields.put("internalPorts.1", String.valueOf(ports[3]));
    fields.put("platform.address", store.address());
    fields.put("recommendation", advice.address());
    fields.put("limits.cpuShare", "0.75");
    fields.put("limits.cores", "1");
    fields.put("bounds.holdMaxMs", "6000");
    fields.put("bounds.status_s", "120");
    fields.put("bounds.checkpointS", "0.5");
    fields.put("bounds.restoreMs", "250");
    fields.put("bounds.stopTimeoutMs", "200");
    fields.put("bounds.reclaimMs", "2700");
    fields.put("bounds.maintenanceS", "2");
    fields.put("bounds.noticeMs", "4500");
    fields.put("bounds.leaseMs", "3000");
    return fields;
  }

  /** Fills the template of the deploy file, as the platform does. */
  private static String template(Map<String, String> fields) throws IOException {
    String text = Files.readString(Path.of(deployed("template")));
    Matcher section =
        Pattern.compile("\\{\\{#([\\w.]+)}}\\n(.*?)\\{\\{/\\1}}\\n", Pattern.DOTALL).matcher(text);
    text =
        section.replaceAll(
            found -> {
              String value = fields.get(found.group(1));
              String filled = value == null ? "" : found.group(2).replace("{{.}}", value);
              return Matcher.quoteReplacement(filled);
            });
    Matcher place = Pattern.compile("\\{\\{([\\w.]+)}}").matcher(text);
    return place.replaceAll(
        found -> Matcher.quoteReplacement(fields.getOrDefault(found.group(1), "")));
  }

  /** Returns a value of the role in the deploy file. */
  private static String deployed(String key) throws IOException {
    String text = Files.readString(Path.of("deploy/system.toml"), StandardCharsets.UTF_8);
    Matcher found = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(text);
    if (!found.find()) {
      throw new IOException("no " + key + " in the deploy file");
    }
    return found.group(1);
  }

  /** Ends all VMs. */
  @Override
  public void close() {
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.process.destroyForcibly();
      }
    }
  }
}
