import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Stand-in of an executor of tasks. A task takes as long as its spec says ("ms=N"; it lasts if that
 * is 0). It guards its capacity, keeps leases by its own clock and lists ends until they are
 * acknowledged.
 */
final class Executor {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long HEARTBEAT_MILLIS = 1500;
  private static final long MAX_LEASE_MILLIS = 6000;
  private static final long MAX_WAIT_MILLIS = 2000;
  private static final int MAX_ENDS = 500;
  private static final int CPU = 64_000;
  private static final int MEMORY = 262_144;
  private static final int GPU = 8;
  private static final int TASK_CPU = 5600;

  private final String id;
  private final List<String> labels;
  private final String service;
  private final String zone;
  private final Store store;
  private final Advice advice;
  private final Record record;
  private Life life;
  private boolean refusing;
  private long sequence;

  /** One life of the executor; its clock starts anew with it. */
  private final class Life {
    private final Http.Server server;
    private final long born = System.currentTimeMillis();
    private final long startedNanos = System.nanoTime();
    private final Map<String, Run> active = new LinkedHashMap<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long fence;
    private long leaseUntil;
    private long lastEnd;
    private long extendedNanos;
    private boolean over;

    private Life() throws IOException {
      server = new Http.Server(request -> handle(this, request));
    }

    private long clock() {
      return (System.nanoTime() - startedNanos) / 1_000_000 + 1000;
    }
  }

  private record Run(String task, long number, long startedAt, long workMillis, int cpu) {}

  private record End(long number, String task, long run, String how) {}

  Executor(
      String id,
      List<String> labels,
      String service,
      String zone,
      Store store,
      Advice advice,
      Record record)
      throws IOException {
    this.id = id;
    this.labels = labels;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.advice = advice;
    this.record = record;
    this.life = new Life();
    Thread.ofVirtual().start(this::beat);
    Thread.ofVirtual().start(this::advance);
  }

  String id() {
    return id;
  }

  /** Sets whether starts are answered with 503, as an unhealthy executor does. */
  synchronized void refuseStarts(boolean nowRefusing) {
    refusing = nowRefusing;
  }

  /** Cuts the path from all VMs; the executor runs on and its entry stays. */
  synchronized void cut(boolean nowCut) {
    record.write(id + (nowCut ? " is cut off" : " is reachable again"));
    life.server.cut(nowCut);
  }

  /** Ends the present life; nothing is sent and all connections are reset. */
  synchronized void crash() {
    record.write(id + " born " + life.born + " at " + life.server.address() + " crashes");
    life.over = true;
    life.server.crash();
    notifyAll();
  }

  /** Ends the present life for good; the store drops its entry after three missed heartbeats. */
  void loseForGood() {
    crash();
    Thread.ofVirtual()
        .start(
            () -> {
              sleep(3 * HEARTBEAT_MILLIS);
              store.put("keyed.servers", id, null);
            });
  }

  /** Starts the next life under the same id, on another free port. */
  synchronized void restart() throws IOException {
    life = new Life();
    record.write(id + " born " + life.born + " starts again at " + life.server.address());
    notifyAll();
    heartbeat();
  }

  /** Returns how long ago the lease was extended last, in milliseconds. */
  synchronized long extendedMillisAgo() {
    return (System.nanoTime() - life.extendedNanos) / 1_000_000;
  }

  /** Ends what runs here of a job as failed, as a task may fail at any time. */
  synchronized void fail(String job) {
    List.copyOf(life.active.values()).stream()
        .filter(run -> run.task().startsWith(job))
        .forEach(run -> end(run, "failed"));
  }

  /** Returns whether a task runs here. */
  synchronized boolean runs(String taskPrefix) {
    return !life.over
        && life.active.keySet().stream().anyMatch(task -> task.startsWith(taskPrefix));
  }

  synchronized int running() {
    return life.over ? 0 : life.active.size();
  }

  private void beat() {
    while (true) {
      heartbeat();
      sleep(HEARTBEAT_MILLIS);
    }
  }

  private synchronized void heartbeat() {
    if (life.over) {
      return;
    }
    sequence++;
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", service);
    entry.put("address", life.server.address());
    entry.put("zone", zone);
    entry.put("version", "1");
    entry.put("slots", 8);
    entry.put("state", "ready");
    entry.put("coldLeftMs", 0);
    entry.put("sequence", sequence);
    entry.put("born", life.born);
    entry.put("capacity", Map.of("cpu", CPU, "memMb", MEMORY, "gpu", GPU));
    entry.put("labels", labels);
    store.put("keyed.servers", id, entry);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void advance() {
    while (true) {
      sleep(5);
      step();
    }
  }

  private synchronized void step() {
    if (life.over) {
      return;
    }
    long now = life.clock();
    for (Run run : List.copyOf(life.active.values())) {
      if (now >= life.leaseUntil) {
        end(run, "lapsed");
      } else if (run.workMillis() > 0 && now - run.startedAt() >= run.workMillis()) {
        end(run, "done");
      }
    }
  }

  private void end(Run run, String how) {
    life.active.remove(run.task());
    life.highestEnded.merge(run.task(), run.number(), Math::max);
    life.lastEnd++;
    life.ends.add(new End(life.lastEnd, run.task(), run.number(), how));
    record.write(id + " ended " + run.task() + " run " + run.number() + " " + how);
    notifyAll();
  }

  private synchronized Optional<Http.Response> handle(Life addressed, Http.Request request)
      throws Exception {
    if (addressed.over) {
      return Optional.empty();
    }
    step();
    String expected = request.headers().getOrDefault("expected-instance", id);
    if (!expected.equals(id)) {
      return answer(421, new LinkedHashMap<>());
    }
    JsonNode body = JSON.readTree(request.body());
    long fence = body.path("fencingToken").asLong();
    if (fence < life.fence) {
      return rejected("fence");
    }
    life.fence = fence;
    return switch (request.path()) {
      case "/-/hold" -> hold(addressed, body);
      case "/-/run-start" -> start(body);
      case "/-/run-stop" -> stop(body);
      case "/-/pace" -> answer(200, new LinkedHashMap<>());
      default -> answer(404, new LinkedHashMap<>());
    };
  }

  private Optional<Http.Response> hold(Life addressed, JsonNode body) throws Exception {
    life.ends.removeIf(end -> end.number() <= body.path("ackedUpTo").asLong());
    extend(body);
    long until =
        System.nanoTime() + Math.min(MAX_WAIT_MILLIS, body.path("waitMs").asLong()) * 1_000_000;
    for (long left = until - System.nanoTime(); left > 0 && life.ends.isEmpty(); ) {
      wait(Math.max(1, left / 1_000_000));
      if (addressed.over) {
        return Optional.empty();
      }
      left = until - System.nanoTime();
    }
    step();
    List<List<Object>> active = new ArrayList<>();
    for (Run run : life.active.values()) {
      long percent =
          run.workMillis() == 0
              ? 100
              : Math.min(99, 100 * (life.clock() - run.startedAt()) / run.workMillis());
      active.add(List.of(run.task(), run.number(), "", percent, TASK_CPU));
    }
    List<List<Object>> finished = new ArrayList<>();
    for (End end : life.ends) {
      if (finished.size() < MAX_ENDS) {
        finished.add(List.of(end.number(), end.task(), end.run(), end.how(), ""));
      }
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("active", active);
    answer.put("finished", finished);
    return answer(200, answer);
  }

  private void extend(JsonNode body) {
    long most = life.clock() + MAX_LEASE_MILLIS;
    long until = Math.min(most, body.path("expiresMs").asLong());
    if (until > life.leaseUntil) {
      life.leaseUntil = until;
      life.extendedNanos = System.nanoTime();
    }
  }

  private Optional<Http.Response> start(JsonNode body) {
    String task = body.path("taskId").asText();
    long number = body.path("runId").asLong();
    if (refusing) {
      record.write(id + " refused the start of " + task + " run " + number + " with 503");
      return Optional.of(Http.Response.of(503, new byte[0]));
    }
    if (body.path("expiresMs").asLong() <= life.clock()) {
      return rejected("late");
    }
    extend(body);
    Run present = life.active.get(task);
    if (present != null && present.number() == number) {
      return answer(200, new LinkedHashMap<>());
    }
    if (number <= life.highestEnded.getOrDefault(task, 0L)) {
      return rejected("old");
    }
    String step = task.substring(0, task.lastIndexOf('.'));
    boolean needsTicket = task.startsWith(Cluster.ADVISED_JOBS);
    if (needsTicket && !advice.permits(step, id, body.path("ticket").asText())) {
      record.write(id + " rejected " + task + " run " + number + " for want of a ticket");
      return rejected("ticket");
    }
    String spec = body.path("spec").asText();
    long work = Long.parseLong(spec.substring(spec.indexOf("ms=") + 3));
    int used = life.active.values().stream().mapToInt(Run::cpu).sum();
    if (used + TASK_CPU > CPU || life.active.size() == GPU) {
      return rejected("room");
    }
    life.active.put(task, new Run(task, number, life.clock(), work, TASK_CPU));
    record.write(id + " started " + task + " run " + number);
    record.started(task);
    return answer(200, new LinkedHashMap<>());
  }

  private Optional<Http.Response> stop(JsonNode body) {
    String task = body.path("taskId").asText();
    long number = body.path("runId").asLong();
    Run present = life.active.get(task);
    if (present != null && present.number() == number) {
      end(present, "stopped");
    }
    life.highestEnded.merge(task, number, Math::max);
    return answer(200, new LinkedHashMap<>());
  }

  private Optional<Http.Response> rejected(String reason) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("reason", reason);
    return answer(409, body);
  }

  private Optional<Http.Response> answer(int status, Map<String, Object> body) {
    body.put("clockMs", life.clock());
    body.put("born", life.born);
    try {
      return Optional.of(Http.Response.of(status, JSON.writeValueAsBytes(body)));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
