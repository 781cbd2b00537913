package org.fescuehook.logic.trace;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.fescuehook.logic.rule.RuleMatcher;
import org.fescuehook.logic.scheduling.EndedAttempt;
import org.fescuehook.logic.scheduling.FaultyWorkerDetector;
import org.fescuehook.logic.scheduling.FeasibilityChecker;
import org.fescuehook.logic.scheduling.History;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.logic.scheduling.Scheduler.Plan;
import org.fescuehook.logic.scheduling.Scheduler.Start;
import org.fescuehook.logic.scheduling.Scheduler.Stop;
import org.fescuehook.logic.scheduling.Scheduler.View;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Placement;
import org.fescuehook.model.rule.Verdict;

/**
 * Replays a trace against a scheduling policy on a virtual clock. Workers behave as the trace
 * describes. An instance is used for one replay only.
 */
public final class Replayer {

  private static final long TICK_MILLIS = 60_000;
  private static final long MAX_MILLIS_AFTER_TRACE = 30L * 24 * 3600 * 1000;
  private static final int MAX_ATTEMPTS = 1_000;
  private static final Start NO_START =
      new Start(new JobId("none"), new Placement(List.of()), 0, false);

  private final Trace trace;
  private final Scheduler scheduler;
  private final Optional<FaultyWorkerDetector> detector;
  private final ReplayListener listener;
  private final FeasibilityChecker feasibility = new FeasibilityChecker();
  private final RuleMatcher matcher = new RuleMatcher();

  private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
  private final Map<JobId, ReplayedJob> jobs = new HashMap<>();
  private final List<ReplayedJob> submitted = new ArrayList<>();
  private final TreeMap<Long, ReplayedJob> waiting = new TreeMap<>();
  private final TreeMap<Long, ReplayedJob> running = new TreeMap<>();
  private final Map<JobId, Long> runningKeys = new HashMap<>();
  private final Set<WorkerId> unavailable = new HashSet<>();
  private final Map<WorkerId, Long> failingAfterSeconds = new HashMap<>();
  private final Map<WorkerId, Long> quarantinedUntil = new HashMap<>();
  private History history = History.EMPTY;
  private long nowMillis;
  private long nextOrder;
  private boolean tickPending;

  /** Whether a job was started so often that the policy is making no progress. */
  private boolean stuck;

  /**
   * Creates a replay.
   *
   * @param detector finds workers to quarantine; empty if no worker is to be quarantined
   * @param listener notified of each decision
   */
  public Replayer(
      Trace trace,
      Scheduler scheduler,
      Optional<FaultyWorkerDetector> detector,
      ReplayListener listener) {
    this.trace = trace;
    this.scheduler = scheduler;
    this.detector = detector;
    this.listener = listener;
  }

  private record ScheduledAction(long atMillis, long order, Runnable action)
      implements Comparable<ScheduledAction> {

    @Override
    public int compareTo(ScheduledAction other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** Replays the trace and returns the outcomes of its jobs in the order of submission. */
  public List<JobOutcome> replay() {
    trace.events().forEach(e -> schedule(e.atMillis(), () -> apply(e)));
    long last = trace.events().isEmpty() ? 0 : trace.events().getLast().atMillis();
    while (!queue.isEmpty() && !stuck && nowMillis <= last + MAX_MILLIS_AFTER_TRACE) {
      nowMillis = queue.peek().atMillis();
      while (!queue.isEmpty() && queue.peek().atMillis() == nowMillis) {
        queue.poll().action().run();
      }
      decide();
    }
    return submitted.stream().map(ReplayedJob::outcome).toList();
  }

  private void schedule(long millis, Runnable action) {
    queue.add(new ScheduledAction(millis, nextOrder++, action));
  }

  private void apply(TraceEvent event) {
    switch (event) {
      case TraceEvent.Submitted e -> submit(e);
      case TraceEvent.Cancelled e -> cancel(jobs.get(e.job()));
      case TraceEvent.Lapsed e -> lapse(e.worker());
      case TraceEvent.Returned e -> unavailable.remove(e.worker());
      case TraceEvent.Leaving e -> unavailable.add(e.worker());
      case TraceEvent.Failing e -> failingAfterSeconds.put(e.worker(), e.afterSeconds());
      case TraceEvent.Recovered e -> failingAfterSeconds.remove(e.worker());
    }
  }

  private void submit(TraceEvent.Submitted event) {
    ReplayedJob job = new ReplayedJob(event.job(), event.behaviour(), nextOrder++, NO_START);
    jobs.put(event.job().id(), job);
    submitted.add(job);
    var declarations = trace.declarations();
    Verdict verdict = matcher.match(declarations.rules(), job.job, nowMillis, load()).verdict();
    boolean neverRunnable =
        feasibility
            .infeasibilityReason(declarations, job.job.organisation(), job.job.shape())
            .isPresent();
    if (neverRunnable || verdict instanceof Verdict.Refuse) {
      finish(job, JobOutcome.End.REFUSED);
      return;
    }
    waiting.put(job.order, job);
  }

  private double load() {
    int total =
        trace.declarations().fleet().workers().stream()
            .mapToInt(w -> w.capacity().accelerators())
            .sum();
    int used = running.values().stream().mapToInt(j -> j.job.shape().accelerators()).sum();
    return total == 0 ? 0 : (double) used / total;
  }

  private void finish(ReplayedJob job, JobOutcome.End end) {
    job.end = end;
    job.endMillis = OptionalLong.of(nowMillis);
  }

  private void cancel(ReplayedJob job) {
    if (job.isOver()) {
      return;
    }
    finish(job, JobOutcome.End.CANCELLED);
    if (waiting.remove(job.order) == null && !job.ending) {
      end(job, EndedAttempt.Result.STOPPED, Optional.empty(), 0);
    }
  }

  private void lapse(WorkerId worker) {
    unavailable.add(worker);
    for (ReplayedJob job : running.values()) {
      if (!job.ending && job.start.placement().members().contains(worker)) {
        job.lostAcceleratorSeconds += lostWork(job);
        end(job, EndedAttempt.Result.STOPPED, Optional.empty(), trace.timing().leaseMillis());
      }
    }
  }

  private void decide() {
    quarantinedUntil.values().removeIf(until -> until <= nowMillis);
    View view = view();
    Plan plan = scheduler.plan(view);
    listener.decided(view, plan);
    plan.stops().forEach(this::stop);
    plan.starts().forEach(this::start);
    detector.ifPresent(d -> d.detect(view).forEach(this::quarantine));
    if (!waiting.isEmpty() && !tickPending) {
      tickPending = true;
      schedule(nowMillis + TICK_MILLIS, () -> tickPending = false);
    }
  }

  private View view() {
    Set<WorkerId> unusable = new HashSet<>(unavailable);
    unusable.addAll(quarantinedUntil.keySet());
    return new View(
        nowMillis,
        trace.declarations(),
        waiting.values().stream().map(ReplayedJob::waiting).toList(),
        running.values().stream().map(ReplayedJob::running).toList(),
        unusable,
        history);
  }

  private void quarantine(FaultyWorkerDetector.Quarantine quarantine) {
    quarantinedUntil.put(quarantine.worker(), quarantine.untilMillis());
    history = history.afterQuarantine(quarantine.worker(), quarantine.untilMillis());
    schedule(quarantine.untilMillis(), () -> {});
  }

  private void start(Start start) {
    ReplayedJob job = jobs.get(start.job());
    waiting.remove(job.order);
    job.start = start;
    job.attempts++;
    stuck |= job.attempts > MAX_ATTEMPTS;
    job.stopping = false;
    job.ending = false;
    job.plannedMillis = nowMillis;
    job.beganMillis = nowMillis + trace.timing().startMillis();
    long key = nextOrder++;
    runningKeys.put(start.job(), key);
    running.put(key, job);
    if (job.firstStartMillis.isEmpty()) {
      job.firstStartMillis = OptionalLong.of(job.beganMillis);
    }
    scheduleEnd(job);
  }

  private void scheduleEnd(ReplayedJob job) {
    long needed = job.behaviour.runSeconds() - job.keptSeconds;
    Optional<WorkerId> blamed = Optional.empty();
    if (job.behaviour.failsAfterSeconds().isPresent()) {
      needed = job.behaviour.failsAfterSeconds().getAsLong();
      blamed = Optional.of(job.start.placement().members().getFirst());
    }
    for (WorkerId worker : job.start.placement().members()) {
      Long failsAfter = failingAfterSeconds.get(worker);
      if (failsAfter != null && failsAfter < needed) {
        needed = failsAfter;
        blamed = Optional.of(worker);
      }
    }
    Optional<WorkerId> failedOn = blamed;
    var result = blamed.isPresent() ? EndedAttempt.Result.FAILED : EndedAttempt.Result.FINISHED;
    int attempt = job.attempts;
    schedule(job.beganMillis + needed * 1000, () -> endIfLive(job, attempt, result, failedOn));
  }

  private void endIfLive(
      ReplayedJob job, int attempt, EndedAttempt.Result result, Optional<WorkerId> blamed) {
    if (job.attempts == attempt && !job.ending && !job.isOver()) {
      if (result == EndedAttempt.Result.FINISHED) {
        finish(job, JobOutcome.End.FINISHED);
      }
      end(job, result, blamed, 0);
    }
  }

  private void stop(Stop stop) {
    ReplayedJob job = jobs.get(stop.attempt().job());
    if (job.stopping || job.ending) {
      throw new IllegalStateException("stopped twice: " + stop.attempt());
    }
    job.stopping = true;
    job.preemptions++;
    OptionalLong checkpoint = job.behaviour.checkpointMillis();
    boolean kept =
        stop.checkpointFirst()
            && job.job.checkpointable()
            && checkpoint.isPresent()
            && checkpoint.getAsLong() <= stop.noticeMillis();
    long delay = kept ? checkpoint.getAsLong() : stop.noticeMillis();
    int attempt = job.attempts;
    schedule(nowMillis + delay, () -> endStopped(job, attempt, kept));
  }

  private void endStopped(ReplayedJob job, int attempt, boolean kept) {
    if (job.attempts != attempt || job.ending || job.isOver()) {
      return;
    }
    if (!kept) {
      job.lostAcceleratorSeconds += lostWork(job);
    }
    long ran = job.ranSeconds(nowMillis);
    end(job, EndedAttempt.Result.STOPPED, Optional.empty(), 0);
    job.keptSeconds += kept ? ran : 0;
  }

  private double lostWork(ReplayedJob job) {
    return (double) job.ranSeconds(nowMillis) * job.job.shape().accelerators();
  }

  /** Ends the current attempt. Its resources become free after the delay and the release time. */
  private void end(
      ReplayedJob job, EndedAttempt.Result result, Optional<WorkerId> blamed, long delayMillis) {
    job.ending = true;
    long ran = job.ranSeconds(nowMillis);
    EndedAttempt ended =
        new EndedAttempt(
            job.job, job.start.placement(), ran, job.keptSeconds, result, blamed, nowMillis);
    schedule(nowMillis + delayMillis + trace.timing().releaseMillis(), () -> release(job, ended));
  }

  private void release(ReplayedJob job, EndedAttempt ended) {
    running.remove(runningKeys.remove(job.job.id()));
    history = history.afterAttempt(ended);
    if (ended.result() == EndedAttempt.Result.FAILED) {
      job.failures++;
      ended.blamed().ifPresent(job.failedOn::add);
    }
    if (job.isOver()) {
      return;
    }
    if (job.failures >= trace.declarations().policy().maxAttempts()) {
      finish(job, JobOutcome.End.GIVEN_UP);
      return;
    }
    waiting.put(job.order, job);
  }
}
