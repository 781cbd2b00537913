import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An executor that guards its capacity: leases on a clock of its own, fencing tokens, ends that are
 * listed until they are acknowledged.
 */
final class Server {

  private static final long MAX_LEASE_MILLIS = 6000;
  private static final long STOP_MILLIS = 200;
  private static final long CHECKPOINT_MILLIS = 500;
  private static final int MOST_ENDS = 500;
  private static final long BEAT_MILLIS = 1500;
  private static final long TICK_MILLIS = 10;

  /** What an executor has. */
  record Room(int cpu, int memMb, int gpu) {}

  /**
   * What a run does.
   *
   * @param millis after how long it ends; a task that lasts has a long one
   * @param how its end
   */
  record Work(long millis, String how) {}

  /** Tells what tasks need and do; the platform knows their jobs. */
  interface Tasks {
    Step step(String taskId);

    Work work(String taskId, long run, Server on);
  }

  private static final class Run {
    final long number;
    final long since;
    final Step step;
    final Work work;
    long worksSince;
    long endsAt;
    String how;
    String saved;

    Run(long number, long since, Step step, String saved, Work work) {
      this.number = number;
      this.since = since;
      this.step = step;
      this.saved = saved;
      this.work = work;
      this.worksSince = step.gang() ? -1 : since;
      this.endsAt = since + (step.gang() ? Gangs.TIMEOUT_MILLIS : work.millis());
      this.how = step.gang() ? "alone" : work.how();
    }

    /** A task that lasts is at work after a second. */
    long percent(long now) {
      long whole = step.longRunning() ? 1000 : Math.max(1, work.millis());
      return worksSince < 0 ? 0 : Math.min(100, 100 * (now - worksSince) / whole);
    }

    void begin(long now) {
      worksSince = now;
      endsAt = now + work.millis();
      how = work.how();
    }
  }

  final String id;
  final String zone;
  final String rack;
  private final Room capacity;
  private final String service;
  private final Store store;
  private final Journal journal;
  private final Tasks tasks;
  private final History history;
  private final Gangs gangs;
  private final long born = System.currentTimeMillis();
  private final long clockBase = System.nanoTime() / 1_000_000 - 100_000;
  private final Map<String, Run> active = new LinkedHashMap<>();
  private final Map<String, Long> highest = new HashMap<>();
  private final List<List<Object>> finished = new ArrayList<>();
  private long lastEnd;
  private long token;
  private long leaseUntil;
  private long sequence;
  private int cpu;
  private int memMb;
  private int gpu;
  private int port;

  Server(String id, String zone, String rack, Room capacity, String service, Store store, Journal journal,
      Tasks tasks, History history, Gangs gangs) {
    this.id = id;
    this.zone = zone;
    this.rack = rack;
    this.capacity = capacity;
    this.service = service;
    this.gangs = gangs;
    this.store = store;
    this.journal = journal;
    this.tasks = tasks;
    this.history = history;
  }

  void start() throws IOException {
    port = Http.serve(this::handle);
    Thread.ofPlatform().daemon().start(this::live);
  }

  private long clock() {
    return System.nanoTime() / 1_000_000 - clockBase;
  }

  private void live() {
    long beatAt = 0;
    while (true) {
      long now = clock();
      if (now >= beatAt) {
        beat();
        beatAt = now + BEAT_MILLIS;
      }
      advance();
      try {
        Thread.sleep(TICK_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void beat() {
    sequence++;
    store.put("keyed.servers", id,
        Json.write(Json.map("service", service, "address", "127.0.0.1:" + port, "zone", zone, "version", "v1",
            "slots", 8, "state", "ready", "coldLeftMs", 0, "capacity",
            Json.map("cpu", capacity.cpu(), "memMb", capacity.memMb(), "gpu", capacity.gpu()),
            "labels", List.of("a", rack), "clockMs", clock(), "sequence", sequence, "born", born)));
  }

  private synchronized void advance() {
    long now = clock();
    boolean lapsed = now >= leaseUntil;
    boolean ended = false;
    for (Iterator<Map.Entry<String, Run>> runs = active.entrySet().iterator(); runs.hasNext(); ) {
      Map.Entry<String, Run> entry = runs.next();
      Run run = entry.getValue();
      String task = entry.getKey();
      if (run.step.gang() && run.worksSince < 0 && gangs.complete(task, run.number)) {
        run.begin(now);
      }
      if (run.step.gang() && gangs.broken(task, run.number) && now < run.endsAt) {
        run.endsAt = now;
        run.how = "broken";
      }
      long worked = run.worksSince < 0 ? 0 : now - run.worksSince;
      if (run.step.checkpointing() && worked >= CHECKPOINT_MILLIS) {
        run.saved = "%016x".formatted(task.hashCode() * 1_000_003L + run.number * 1000 + worked / CHECKPOINT_MILLIS);
      }
      if (lapsed || now >= run.endsAt) {
        runs.remove();
        release(run.step);
        lastEnd++;
        String how = lapsed ? "lapsed" : run.how;
        if (run.step.gang()) {
          gangs.leave(task, run.number, how.equals("done"));
        }
        finished.add(List.of(lastEnd, entry.getKey(), run.number, how, run.saved));
        history.ended(entry.getKey(), run.number, id, how);
        ended = true;
      }
    }
    if (ended) {
      notifyAll();
    }
  }

  private void release(Step demand) {
    cpu -= demand.cpu();
    memMb -= demand.memMb();
    gpu -= demand.gpu();
  }

  /** Returns what runs hold here. */
  synchronized Room used() {
    return new Room(cpu, memMb, gpu);
  }

  /** Returns whether a number of tasks of a step fit beside what runs here. */
  synchronized boolean fits(Step step, int times) {
    return cpu + step.cpu() * times <= capacity.cpu()
        && memMb + step.memMb() * times <= capacity.memMb()
        && gpu + step.gpu() * times <= capacity.gpu();
  }

  private Http.Answer handle(Http.Request request) throws InterruptedException {
    if (request.call().equals("GET /healthz")) {
      return Http.Answer.json(200, Json.map());
    }
    if (!request.headers().getOrDefault("expected-instance", id).equals(id)) {
      return Http.Answer.json(421, Json.map());
    }
    Map<String, Object> order = Json.object(request.text());
    synchronized (this) {
      if (Json.number(order, "fencingToken") < token) {
        return reject("fence");
      }
      token = Json.number(order, "fencingToken");
      return switch (request.path()) {
        case "/-/run-start" -> start(order);
        case "/-/run-stop" -> stop(order);
        case "/-/hold" -> hold(order);
        case "/-/pace" -> Http.Answer.json(200, Json.map("clockMs", clock(), "born", born));
        default -> Http.Answer.json(404, Json.map());
      };
    }
  }

  private Http.Answer reject(String reason) {
    return Http.Answer.json(409, Json.map("clockMs", clock(), "born", born, "reason", reason));
  }

  private Http.Answer done() {
    return Http.Answer.json(200, Json.map("clockMs", clock(), "born", born));
  }

  private void extend(long until) {
    leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + MAX_LEASE_MILLIS));
  }

  private Http.Answer start(Map<String, Object> order) {
    long until = Json.number(order, "expiresMs");
    if (until <= clock()) {
      return reject("late");
    }
    extend(until);
    String task = (String) order.get("taskId");
    long number = Json.number(order, "runId");
    Run current = active.get(task);
    if (current != null && current.number == number) {
      return done();
    }
    if (number <= highest.getOrDefault(task, 0L)) {
      return reject("old");
    }
    Step step = tasks.step(task);
    if (step == null) {
      journal.note(id, "start of " + task.replace('.', '/') + ", which no client sent");
      return Http.Answer.json(400, Json.map());
    }
    if (!fits(step, 1)) {
      return reject("room");
    }
    highest.put(task, number);
    cpu += step.cpu();
    memMb += step.memMb();
    gpu += step.gpu();
    String saved = order.get("checkpoint") instanceof String text ? text : "";
    active.put(task, new Run(number, clock(), step, saved, tasks.work(task, number, this)));
    if (step.gang()) {
      gangs.join(task, number, step.count());
    }
    history.started(task, number, id);
    return done();
  }

  private Http.Answer stop(Map<String, Object> order) {
    String task = (String) order.get("taskId");
    long number = Json.number(order, "runId");
    highest.merge(task, number, Math::max);
    Run current = active.get(task);
    if (current != null && current.number <= number && current.endsAt > clock() + STOP_MILLIS) {
      current.endsAt = clock() + STOP_MILLIS;
      current.how = "stopped";
    }
    return done();
  }

  private Http.Answer hold(Map<String, Object> order) throws InterruptedException {
    long acknowledged = Json.number(order, "ackedUpTo");
    finished.removeIf(end -> (Long) end.get(0) <= acknowledged);
    if (order.containsKey("expiresMs")) {
      extend(Json.number(order, "expiresMs"));
    }
    long until = clock() + Json.number(order, "waitMs");
    for (long left = until - clock(); left > 0 && finished.isEmpty(); left = until - clock()) {
      wait(left);
    }
    List<Object> running = new ArrayList<>();
    long now = clock();
    active.forEach((task, run) -> {
      running.add(List.of(task, run.number, run.saved, run.percent(now), run.step.cpu()));
    });
    List<List<Object>> ends = List.copyOf(finished.subList(0, Math.min(MOST_ENDS, finished.size())));
    return Http.Answer.json(200,
        Json.map("clockMs", now, "born", born, "active", running, "finished", ends));
  }
}
