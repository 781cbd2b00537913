import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of an executor: leases, fencing tokens, a guarded capacity, and ends that are listed, 500
 * at a time, until they are acknowledged.
 */
final class Executor {

  private static final int ENDS_AT_A_TIME = 500;
  private static final long HOLD_MAX_MILLIS = 6000;
  private static final long STOP_MILLIS = 200;
  private static final long CHECKPOINT_MILLIS = 500;
  private static final long FAILS_AFTER_MILLIS = 400;
  private static final int GPUS = 8;
  private static final long GANG_TIMEOUT_MILLIS = 3000;

  /** What a task needs and how long it works. */
  record Work(int cpu, int memMb, int gpu, long millis, boolean checkpointing, boolean lasting, Gang gang) {
    Work(int cpu, int memMb, int gpu, long millis, boolean checkpointing, boolean lasting) {
      this(cpu, memMb, gpu, millis, checkpointing, lasting, null);
    }

    Work(int cpu, int memMb, long millis) {
      this(cpu, memMb, 0, millis, false, false);
    }
  }

  /** The members of a gang: they work from the moment at which all are present, and end together. */
  static final class Gang {
    private final int size;
    private final java.util.Set<String> present = new java.util.HashSet<>();
    private long completeAt = -1;
    private boolean broken;

    Gang(int size) {
      this.size = size;
    }

    synchronized void join(String task, long now) {
      present.add(task);
      completeAt = completeAt < 0 && present.size() == size ? now : completeAt;
    }

    synchronized void leave(String how) {
      broken |= !how.equals("done");
    }

    /** Returns how a member ends now; null while it goes on. */
    synchronized String end(long startedAt, long millis, long now) {
      if (broken) {
        return "broken";
      }
      if (completeAt < 0) {
        return now >= startedAt + GANG_TIMEOUT_MILLIS ? "alone" : null;
      }
      return now >= completeAt + millis ? "done" : null;
    }
  }

  /** Something that happened to a run. */
  record Event(String kind, String task, int run, String executor, long atMillis) {}

  private record Run(String task, int run, Work work, long startedAt, long endsAt, String end) {}

  private record End(long number, String task, int run, String how, String saved) {}

  private final String id;
  private final Store store;
  private final Record record;
  private final Function<String, Work> works;
  private Http.Server server;
  private long born = System.currentTimeMillis();
  private boolean crashed;
  private boolean unhealthy;
  private boolean failing;
  private final Map<String, Run> active = new LinkedHashMap<>();
  private final Map<String, Integer> highest = new HashMap<>();
  private final Deque<End> ends = new ArrayDeque<>();
  private final List<Event> events = new ArrayList<>();
  private final int cpu;
  private final int memMb;
  private final String zone;
  private final String rack;
  private long sequence;
  private long token;
  private long leaseUntil;
  private boolean leaseOver;
  private long lastEnd;
  private int further;

  Executor(String id, String zone, String rack, int cpu, int memMb, Store store, Record record, Function<String, Work> works)
      throws IOException {
    this.id = id;
    this.zone = zone;
    this.rack = rack;
    this.cpu = cpu;
    this.memMb = memMb;
    this.store = store;
    this.record = record;
    this.works = works;
    this.server = new Http.Server(this::handle);
  }

  String rack() {
    return rack;
  }

  synchronized List<Event> events() {
    return List.copyOf(events);
  }

  synchronized int activeRuns() {
    return active.size();
  }

  synchronized int listedEnds() {
    return ends.size();
  }

  /** Ends all runs without a word; from now on it answers nothing. */
  synchronized void crash() {
    record.note("executor " + id + " crashes with " + active.size() + " runs");
    active.values().forEach(run -> event("crashed", run.task, run.run));
    active.clear();
    ends.clear();
    crashed = true;
    notifyAll();
  }

  /** Starts again under its id, at another address; it knows nothing of before. */
  synchronized void startAgainElsewhere() throws IOException {
    server.close();
    server = new Http.Server(this::handle);
    startAgain();
  }

  /** Starts again under its id; it knows nothing of before. */
  synchronized void startAgain() {
    record.note("executor " + id + " starts again under its id at " + server.address());
    highest.clear();
    token = 0;
    leaseUntil = 0;
    lastEnd = 0;
    sequence = 0;
    born = System.currentTimeMillis();
    crashed = false;
  }

  /** Sets whether it answers each start with 503 and does nothing. */
  synchronized void setUnhealthy(boolean nowUnhealthy) {
    unhealthy = nowUnhealthy;
    record.note("executor " + id + (nowUnhealthy ? " answers starts with 503 from now on" : " is healthy again"));
  }

  /** Sets whether each run that starts here ends failed soon. */
  synchronized void setFailing(boolean nowFailing) {
    failing = nowFailing;
    record.note("executor " + id + (nowFailing ? " fails all that it starts from now on" : " is sound again"));
  }

  /** Writes its entry into the store. */
  synchronized void beat() {
    if (crashed) {
      return;
    }
    sequence++;
    store.put(
        "keyed.servers",
        id,
        "{\"service\":\"pool\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":" + cpu
            + ",\"memMb\":" + memMb + ",\"gpu\":" + GPUS + "},\"labels\":[\"a\",\"" + rack + "\"],\"clockMs\":" + clock()
            + ",\"sequence\":" + sequence + ",\"born\":" + born + "}");
  }

  private long clock() {
    return record.millis() + 100_000;
  }

  private void event(String kind, String task, int run) {
    events.add(new Event(kind, task, run, id, record.millis()));
    if (kind.equals("started") && run > 1 && further++ < 40) {
      record.note("executor " + id + " starts " + task + " run " + run);
    }
  }

  /** Ends what is due. */
  synchronized void advance() {
    if (leaseUntil > 0 && clock() >= leaseUntil && !leaseOver) {
      leaseOver = true;
      event("lease over", "", 0);
    }
    if (!active.isEmpty() && clock() >= leaseUntil) {
      record.note("the lease of executor " + id + " lapses");
      for (Run run : List.copyOf(active.values())) {
        end(run, "lapsed");
      }
    }
    for (Run run : List.copyOf(active.values())) {
      String gangEnd = run.work.gang == null ? null : run.work.gang.end(run.startedAt, run.work.millis, record.millis());
      if (gangEnd != null) {
        end(run, gangEnd);
      } else if (record.millis() >= run.endsAt) {
        end(run, run.end);
      }
    }
  }

  private void end(Run run, String how) {
    active.remove(run.task);
    if (run.work.gang != null) {
      run.work.gang.leave(how);
    }
    lastEnd++;
    ends.addLast(new End(lastEnd, run.task, run.run, how, how.equals("done") ? "" : saved(run)));
    event(how, run.task, run.run);
    notifyAll();
  }

  private String saved(Run run) {
    long worked = record.millis() - run.startedAt;
    return run.work.checkpointing && worked >= CHECKPOINT_MILLIS
        ? "%016x".formatted((worked / CHECKPOINT_MILLIS << 32) + run.task.hashCode())
        : "";
  }

  private static String field(String body, String name) {
    Matcher found = Pattern.compile("\"" + name + "\":(?:\"([^\"]*)\"|(-?\\d+))").matcher(body);
    return found.find() ? (found.group(1) != null ? found.group(1) : found.group(2)) : "";
  }

  private static long number(String body, String name) {
    String text = field(body, name);
    return text.isEmpty() ? 0 : Long.parseLong(text);
  }

  private synchronized Http.Answer handle(Http.Message request) throws Exception {
    if (crashed) {
      throw new IOException("crashed");
    }
    advance();
    String body = request.text();
    if (!request.headers().getOrDefault("expected-instance", id).equals(id)) {
      return Http.Answer.json(421, clockOnly(""));
    }
    if (number(body, "fencingToken") < token) {
      return Http.Answer.json(409, clockOnly(",\"reason\":\"fence\""));
    }
    token = number(body, "fencingToken");
    return switch (request.path()) {
      case "/-/run-start" -> start(body);
      case "/-/run-stop" -> stop(body);
      case "/-/hold" -> hold(body);
      case "/-/pace" -> Http.Answer.json(200, clockOnly(""));
      default -> Http.Answer.json(404, "{}");
    };
  }

  private String clockOnly(String more) {
    return "{\"clockMs\":" + clock() + ",\"born\":" + born + more + "}";
  }

  private void extend(String body) {
    if (!field(body, "expiresMs").isEmpty()) {
      leaseUntil = Math.max(leaseUntil, Math.min(number(body, "expiresMs"), clock() + HOLD_MAX_MILLIS));
      leaseOver = clock() >= leaseUntil;
    }
  }

  private Http.Answer start(String body) {
    String task = field(body, "taskId");
    int run = (int) number(body, "runId");
    if (number(body, "expiresMs") <= clock()) {
      return Http.Answer.json(409, clockOnly(",\"reason\":\"late\""));
    }
    if (unhealthy) {
      return Http.Answer.json(503, clockOnly(""));
    }
    extend(body);
    Run present = active.get(task);
    if (present != null && present.run == run) {
      return Http.Answer.json(200, clockOnly(""));
    }
    if (run <= highest.getOrDefault(task, 0)) {
      return Http.Answer.json(409, clockOnly(",\"reason\":\"old\""));
    }
    Work work = works.apply(task);
    int usedCpu = active.values().stream().mapToInt(other -> other.work.cpu).sum();
    int usedMem = active.values().stream().mapToInt(other -> other.work.memMb).sum();
    int usedGpu = active.values().stream().mapToInt(other -> other.work.gpu).sum();
    if (usedCpu + work.cpu > cpu || usedMem + work.memMb > memMb || usedGpu + work.gpu > GPUS) {
      return Http.Answer.json(409, clockOnly(",\"reason\":\"room\""));
    }
    highest.put(task, run);
    long now = record.millis();
    if (work.gang != null) {
      work.gang.join(task, now);
    }
    long endsAt = work.lasting || work.gang != null ? Long.MAX_VALUE : now + work.millis;
    active.put(
        task,
        failing
            ? new Run(task, run, work, now, now + FAILS_AFTER_MILLIS, "failed")
            : new Run(task, run, work, now, endsAt, "done"));
    event("started", task, run);
    return Http.Answer.json(200, clockOnly(""));
  }

  private Http.Answer stop(String body) {
    String task = field(body, "taskId");
    int run = (int) number(body, "runId");
    highest.merge(task, run, Math::max);
    Run present = active.get(task);
    long stopsAt = record.millis() + STOP_MILLIS;
    if (present != null && present.run <= run && stopsAt < present.endsAt) {
      active.put(task, new Run(task, present.run, present.work, present.startedAt, stopsAt, "stopped"));
    }
    return Http.Answer.json(200, clockOnly(""));
  }

  private Http.Answer hold(String body) throws IOException, InterruptedException {
    long acked = number(body, "ackedUpTo");
    while (!ends.isEmpty() && ends.peekFirst().number <= acked) {
      End first = ends.removeFirst();
      event("acked " + first.how, first.task, first.run);
    }
    extend(body);
    long until = record.millis() + Math.min(2000, number(body, "waitMs"));
    while (!crashed && ends.isEmpty() && record.millis() < until) {
      wait(Math.max(1, until - record.millis()));
      advance();
    }
    if (crashed) {
      throw new IOException("crashed");
    }
    StringBuilder answer = new StringBuilder(clockOnly("").replace("}", ",\"active\":["));
    String comma = "";
    for (Run run : active.values()) {
      long worked = (record.millis() - run.startedAt) * 100 / run.work.millis;
      long percent = Math.min(run.work.lasting ? 100 : 99, worked);
      answer.append(comma).append("[\"").append(run.task).append("\",").append(run.run).append(",\"")
          .append(saved(run)).append("\",").append(percent).append(",").append(run.work.cpu).append("]");
      comma = ",";
    }
    answer.append("],\"finished\":[");
    comma = "";
    int listed = 0;
    for (End end : ends) {
      if (listed == ENDS_AT_A_TIME) {
        break;
      }
      listed++;
      answer.append(comma).append("[").append(end.number).append(",\"").append(end.task).append("\",")
          .append(end.run).append(",\"").append(end.how).append("\",\"").append(end.saved).append("\"]");
      comma = ",";
    }
    return Http.Answer.json(200, answer.append("]}").toString());
  }
}
