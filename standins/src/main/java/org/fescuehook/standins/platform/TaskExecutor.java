package org.fescuehook.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * One incarnation of an executor, with its clock, its lease and the highest fencing token that it
 * has received. It tracks the active runs and the ended runs that the scheduler hasn't acknowledged
 * yet, and rejects a task for which it has no free slot. Callers pass the current time in monotonic
 * milliseconds. Not thread-safe.
 */
final class TaskExecutor {

  /** Values by which the platform's protocol says how a run ended. */
  static final String DONE = "done";

  /** Ending of a run that failed. */
  static final String FAILED = "failed";

  private static final String STOPPED = "stopped";
  private static final String LAPSED = "lapsed";
  private static final String BROKEN = "broken";
  private static final String ALONE = "alone";

  /** Keyword of a job specification whose run crashes its executor; never sent as an ending. */
  private static final String CRASH = "crash";

  /** Text in the specification of a job of a queue whose starts need tickets. */
  private static final String ADVISED = " advised ";

  /**
   * Format of a job's specification: after how many milliseconds each of its tasks ends, or crashes
   * its executor, and how many of them share a slot or how many slots each takes, one if both are
   * absent.
   */
  private static final Pattern SPEC =
      Pattern.compile("(run|crash):(\\d+)(?:/(\\d+)|\\*(\\d+))? .*");

  /** Text in the specification of a job: how many of a thousand runs fail by their own fault. */
  private static final Pattern FAILS = Pattern.compile(" fails:(\\d+) ");

  private static final int PERMILLE = 1000;

  /** Text in the specification of a job whose tasks are a gang: the number of its members. */
  private static final Pattern GANG = Pattern.compile(" gang:(\\d+) ");

  /** Time for which a member of a gang waits for the others. */
  private static final long GANG_TIMEOUT_MILLIS = 3000;

  /** A slot is divided into this many parts. */
  private static final int PARTS_PER_SLOT = 1000;

  /** Time after which a run ends that fails; for a member of a gang, from its beginning on. */
  private static final long FAILS_AFTER_MILLIS = 200;

  private static final long MAX_LEASE_MILLIS = 6000;
  private static final long STOP_DURATION_MILLIS = 200;
  private static final int MAX_ENDED_RUNS_PER_POLL = 500;
  private static final int FULL_SPEED_PERCENT = 100;

  private final String id;
  private final long bornMillis;
  private final int slots;
  private final double clockRate;
  private final long clockOffset;
  private final Consumer<RunEvent> journal;
  private final Gangs gangs;
  private final Map<String, ActiveRun> activeRuns = new LinkedHashMap<>();
  private final Map<String, Integer> highestRuns = new HashMap<>();
  private final Deque<EndedRun> unacknowledgedEnds = new ArrayDeque<>();
  private long highestToken;
  private long leaseUntil;
  private long lastEndNumber;
  private int usedParts;
  private boolean crashed;

  /** Whether the expiry of the current lease has been recorded. */
  private boolean lapsed;

  /** Result of an order. */
  sealed interface Outcome {
    /** The executor executed the order. */
    record Done() implements Outcome {}

    /** The executor rejected the order; the reason is one of the platform's protocol. */
    record Rejected(String reason) implements Outcome {}
  }

  /**
   * A running task, with the time at which it ends by itself or because of a stop order.
   *
   * @param gang work of a gang's member; empty for other tasks
   */
  private record ActiveRun(
      int run, long endsAt, String ending, int slotParts, Optional<GangWork> gang) {

    ActiveRun endingAt(long millis, String how) {
      return new ActiveRun(run, millis, how, slotParts, gang);
    }
  }

  /** What a member of a gang does once all members are there. */
  private record GangWork(long millis, String ending) {}

  /**
   * What a start is subject to.
   *
   * @param late whether the order was delayed, which the journal records
   * @param failing whether the run fails
   */
  record StartConditions(boolean late, boolean failing) {
    static final StartConditions NORMAL = new StartConditions(false, false);
  }

  /** An ended run; {@code number} counts the ends of this incarnation. */
  private record EndedRun(long number, String task, int run, String ending) {}

  /**
   * Creates an executor without active runs.
   *
   * @param bornMillis start time of this incarnation, in milliseconds since 1970
   * @param slots how many tasks can run at the same time
   * @param clockRate how many milliseconds its clock advances in a millisecond
   * @param clockOffset reading of its clock at time 0, in milliseconds
   * @param gangs gangs of all executors
   */
  TaskExecutor(
      String id,
      long bornMillis,
      int slots,
      double clockRate,
      long clockOffset,
      Consumer<RunEvent> journal,
      Gangs gangs) {
    this.id = id;
    this.bornMillis = bornMillis;
    this.slots = slots;
    this.clockRate = clockRate;
    this.clockOffset = clockOffset;
    this.journal = journal;
    this.gangs = gangs;
  }

  String id() {
    return id;
  }

  long bornMillis() {
    return bornMillis;
  }

  long clock(long now) {
    return clockOffset + (long) (now * clockRate);
  }

  /**
   * Ends the runs that are due, and all runs if the lease has expired.
   *
   * @return whether a run has ended that a poll now reports; false if a run crashed the executor
   */
  boolean advance(long now) {
    long before = lastEndNumber;
    boolean endsWait = !lapsed && !unacknowledgedEnds.isEmpty();
    if (clock(now) >= leaseUntil && (!activeRuns.isEmpty() || endsWait)) {
      record(RunEvent.Kind.LAPSED, "", 0, "", now);
      lapsed = true;
      List.copyOf(activeRuns.keySet()).forEach(task -> end(task, LAPSED, now));
    }
    for (String task : List.copyOf(activeRuns.keySet())) {
      activeRuns.computeIfPresent(task, (name, run) -> withGang(name, run));
      ActiveRun run = activeRuns.get(task);
      if (now < run.endsAt) {
        continue;
      }
      if (run.ending.equals(CRASH)) {
        crashed = true;
        return false;
      }
      end(task, run.ending, now);
    }
    return lastEndNumber > before;
  }

  /** Adjusts the end of a gang's member to what the others do. */
  private ActiveRun withGang(String task, ActiveRun run) {
    if (run.gang.isEmpty()) {
      return run;
    }
    Gangs.State state = gangs.state(task, run.run);
    ActiveRun adjusted = run;
    if (state.begunAt() != Gangs.NEVER && run.ending.equals(ALONE)) {
      GangWork work = run.gang.get();
      adjusted = run.endingAt(state.begunAt() + work.millis(), work.ending());
    }
    return state.brokenAt() < adjusted.endsAt
        ? adjusted.endingAt(state.brokenAt(), BROKEN)
        : adjusted;
  }

  /** Returns whether a run has crashed this executor. */
  boolean crashed() {
    return crashed;
  }

  private void end(String task, String ending, long now) {
    ActiveRun endedRun = activeRuns.remove(task);
    usedParts -= endedRun.slotParts;
    gangs.leave(task, endedRun.run, ending.equals(DONE), now);
    lastEndNumber++;
    unacknowledgedEnds.add(new EndedRun(lastEndNumber, task, endedRun.run, ending));
    record(RunEvent.Kind.ENDED, task, endedRun.run, ending, now);
  }

  /** Returns how many runs are active. */
  int activeRuns() {
    return activeRuns.size();
  }

  /** Ends this incarnation; its active runs end without being reported by a poll. */
  void crash(long now) {
    activeRuns.forEach(
        (task, endedRun) -> {
          record(RunEvent.Kind.CRASHED, task, endedRun.run, "", now);
          gangs.leave(task, endedRun.run, false, now);
        });
    activeRuns.clear();
    usedParts = 0;
  }

  /** Starts a run, unless there is a reason to reject it. */
  Outcome start(JsonNode order, long now, StartConditions conditions) {
    if (!acceptsToken(order)) {
      return new Outcome.Rejected("fence");
    }
    long until = order.path("expiresMs").asLong();
    if (until <= clock(now)) {
      return new Outcome.Rejected("late");
    }
    extend(until, now);
    String task = order.path("taskId").asText();
    int run = order.path("runId").asInt();
    ActiveRun current = activeRuns.get(task);
    if (current != null && current.run == run) {
      return new Outcome.Done();
    }
    if (run <= highestRuns.getOrDefault(task, 0)) {
      return new Outcome.Rejected("old");
    }
    String spec = order.path("spec").asText();
    if (spec.contains(ADVISED) && !permitted(order.path("ticket").asText(), task, now)) {
      return new Outcome.Rejected("ticket");
    }
    ActiveRun started = activeRun(task, run, spec, now, conditions.failing());
    if (usedParts + started.slotParts > slots * PARTS_PER_SLOT) {
      return new Outcome.Rejected("room");
    }
    highestRuns.put(task, run);
    activeRuns.put(task, started);
    usedParts += started.slotParts;
    Matcher gang = GANG.matcher(spec);
    if (gang.find()) {
      gangs.join(task, run, Integer.parseInt(gang.group(1)), now);
    }
    record(RunEvent.Kind.STARTED, task, run, spec, now);
    if (conditions.late()) {
      record(RunEvent.Kind.STARTED_LATE, task, run, "", now);
    }
    return new Outcome.Done();
  }

  private boolean permitted(String ticket, String task, long now) {
    return Ticket.parse(ticket)
        .filter(parsed -> parsed.permits(task, id, bornMillis, now))
        .isPresent();
  }

  private static ActiveRun activeRun(String task, int run, String spec, long now, boolean failing) {
    Matcher matcher = SPEC.matcher(spec);
    if (!matcher.matches()) {
      return new ActiveRun(run, now, DONE, PARTS_PER_SLOT, Optional.empty());
    }
    int parts = slotParts(matcher.group(3), matcher.group(4));
    boolean gang = GANG.matcher(spec).find();
    boolean fails = failsByItself(spec, task, run);
    if (failing || (fails && !gang)) {
      return new ActiveRun(run, now + FAILS_AFTER_MILLIS, FAILED, parts, Optional.empty());
    }
    long millis = Long.parseLong(matcher.group(2));
    if (gang) {
      GangWork work = fails ? new GangWork(FAILS_AFTER_MILLIS, FAILED) : new GangWork(millis, DONE);
      return new ActiveRun(run, now + GANG_TIMEOUT_MILLIS, ALONE, parts, Optional.of(work));
    }
    String ending = matcher.group(1).equals(CRASH) ? CRASH : DONE;
    return new ActiveRun(run, now + millis, ending, parts, Optional.empty());
  }

  private static int slotParts(@Nullable String sharing, @Nullable String slots) {
    if (sharing != null) {
      return PARTS_PER_SLOT / Integer.parseInt(sharing);
    }
    return slots == null ? PARTS_PER_SLOT : PARTS_PER_SLOT * Integer.parseInt(slots);
  }

  /** Tells whether a run fails by its own fault, wherever it is started. */
  private static boolean failsByItself(String spec, String task, int run) {
    Matcher fails = FAILS.matcher(spec);
    return fails.find()
        && new SplittableRandom((task + "#" + run).hashCode()).nextInt(PERMILLE)
            < Integer.parseInt(fails.group(1));
  }

  Outcome stop(JsonNode order, long now) {
    if (!acceptsToken(order)) {
      return new Outcome.Rejected("fence");
    }
    String task = order.path("taskId").asText();
    int run = order.path("runId").asInt();
    highestRuns.merge(task, run, Math::max);
    ActiveRun current = activeRuns.get(task);
    if (current != null && current.run <= run) {
      long endsAt = Math.min(current.endsAt, now + STOP_DURATION_MILLIS);
      String ending = endsAt < current.endsAt ? STOPPED : current.ending;
      activeRuns.put(task, current.endingAt(endsAt, ending));
    }
    return new Outcome.Done();
  }

  /**
   * Handles a poll: drops the ended runs that it acknowledges and extends the lease. "Hold" is what
   * the platform's protocol calls it.
   */
  Outcome hold(JsonNode order, long now) {
    if (!acceptsToken(order)) {
      return new Outcome.Rejected("fence");
    }
    long acknowledged = order.path("ackedUpTo").asLong();
    while (!unacknowledgedEnds.isEmpty() && unacknowledgedEnds.peekFirst().number <= acknowledged) {
      EndedRun first = unacknowledgedEnds.removeFirst();
      record(RunEvent.Kind.ACKNOWLEDGED, first.task, first.run, first.ending, now);
    }
    if (order.has("expiresMs")) {
      extend(order.path("expiresMs").asLong(), now);
    }
    return new Outcome.Done();
  }

  Outcome pace(JsonNode order) {
    return acceptsToken(order) ? new Outcome.Done() : new Outcome.Rejected("fence");
  }

  /** Returns the fields of a poll's response: the active runs and the unacknowledged ends. */
  Map<String, Object> pollResponse(long now) {
    List<List<Object>> running = new ArrayList<>();
    activeRuns.forEach(
        (task, run) -> running.add(List.of(task, run.run, "", FULL_SPEED_PERCENT, 0)));
    List<List<Object>> finished =
        unacknowledgedEnds.stream()
            .limit(MAX_ENDED_RUNS_PER_POLL)
            .<List<Object>>map(end -> List.of(end.number, end.task, end.run, end.ending, ""))
            .toList();
    return Map.of(
        "born", bornMillis, "clockMs", clock(now), "active", running, "finished", finished);
  }

  boolean hasUnacknowledgedEnds() {
    return !unacknowledgedEnds.isEmpty();
  }

  private boolean acceptsToken(JsonNode order) {
    long token = order.path("fencingToken").asLong();
    if (token < highestToken) {
      return false;
    }
    highestToken = token;
    return true;
  }

  private void extend(long until, long now) {
    leaseUntil = Math.max(leaseUntil, Math.min(until, clock(now) + MAX_LEASE_MILLIS));
    lapsed &= clock(now) >= leaseUntil;
  }

  private void record(RunEvent.Kind kind, String task, int run, String detail, long now) {
    journal.accept(new RunEvent(kind, id, bornMillis, task, run, detail, now));
  }
}
