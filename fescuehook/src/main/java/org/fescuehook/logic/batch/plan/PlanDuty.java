package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.advice.AdviceCache;
import org.fescuehook.logic.batch.advice.StepAdvice;
import org.fescuehook.logic.batch.executor.ExecutorDuty;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.JobLifecycle;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.logic.batch.state.WasteCause;
import org.fescuehook.logic.batch.statistics.ExecutorStanding;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.preferences.WorkPreferences;

/** Plans the waiting steps, stores each placement and then orders the start of the run. */
public final class PlanDuty {

  private static final int PERCENT = 100;

  private final JobLifecycle jobs;
  private final ExecutorDuty executors;
  private final AdviceCache advice;
  private final Planner planner;
  private final SchedulingStatistics statistics;
  private final EvacuationWaits evacuationWaits;
  private final BarredCapacityLog barredCapacityLog;
  private final IdleJobLog idleJobLog;
  private final FairShareLog fairShareLog;
  private final OverlongRuns overlongRuns;
  private final Map<StepProgress, Boolean> deferredSteps = new WeakHashMap<>();
  private final ReservationLog reservationLog = new ReservationLog();
  private final FreedCapacityLog freedCapacityLog;
  private final List<LiveRun> storedRuns = new ArrayList<>();
  private Map<String, Integer> guaranteedNeed = Map.of();

  /** Creates the duty. */
  public PlanDuty(
      JobLifecycle jobs,
      ExecutorDuty executors,
      AdviceCache advice,
      WorkPreferences work,
      SchedulingStatistics statistics,
      BatchContext context) {
    this.jobs = jobs;
    this.executors = executors;
    this.advice = advice;
    this.planner = new Planner(step -> rank(step.job()), work, statistics);
    this.statistics = statistics;
    this.evacuationWaits = new EvacuationWaits(context.nowNanos());
    this.barredCapacityLog = new BarredCapacityLog(statistics.reliability(), context.nowNanos());
    this.idleJobLog = new IdleJobLog(statistics.reliability(), context.nowNanos());
    this.freedCapacityLog = new FreedCapacityLog(statistics.reliability());
    this.fairShareLog = new FairShareLog(statistics.usage());
    this.overlongRuns =
        new OverlongRuns(
            statistics.runTimes(), executors, step -> rank(step.job()), context.nowNanos());
  }

  /** Makes a plan and applies it. */
  public void step(BatchContext context) {
    guaranteedNeed = guaranteedNeed();
    // Also while nothing waits, since what runs meanwhile counts for later plans.
    statistics
        .usage()
        .observe(
            executors.registry().all(), jobs.configuration().organisations(), context.nowNanos());
    statistics.reliability().observe(context);
    List<WaitingStep> waiting = waiting(context);
    idleJobLog.observe(waiting, context.nowNanos());
    if (waiting.isEmpty()) {
      fairShareLog.check(waiting, Planner.Plan.EMPTY, context);
      return;
    }
    List<ExecutorState> usable =
        executors.registry().all().stream()
            .filter(executor -> executor.usable(context.nowNanos()))
            .toList();
    evacuationWaits.check(waiting, executors.registry().all(), usable, context);
    advice.forgetEnded();
    Planner.Plan plan =
        planner.plan(
            waiting,
            usable,
            executors.registry().all().stream().filter(ExecutorState::listed).toList(),
            run -> useless(run, context),
            context.nowNanos());
    fairShareLog.check(waiting, plan, context);
    reservationLog.check(waiting, plan, context);
    freedCapacityLog.check(waiting, planner.freedCapacity(), context);
    barredCapacityLog.check(waiting, plan, usable, context);
    idleJobLog.check(waiting, plan, executors.registry().all(), context);
    for (Planner.Preemption stop : plan.stops()) {
      WaitingStep beneficiary = stop.beneficiary();
      String job = beneficiary.step().job().job().id();
      String cause = "job " + job + " needs its place, " + beneficiary.rank();
      stop.run().wastedBy(WasteCause.PREEMPTED);
      executors.stop(stop.run(), cause, context);
      beneficiary.step().markStopsOrdered();
    }
    noteDeferred(plan.deferred(), context);
    overlongRuns.limit(waiting, plan, usable, run -> useless(run, context), context);
    start(plan.starts(), context);
    advice.request(plan.adviceNeeds(), context);
  }

  /** Logs once for each step that it waits for faster executors. */
  private void noteDeferred(List<WaitingStep> deferred, BatchContext context) {
    for (WaitingStep waiting : deferred) {
      if (deferredSteps.put(waiting.step(), true) == null) {
        context.note(
            BatchLogEvent.WAITS_FOR_FASTER_EXECUTORS,
            waiting.step().job().job().id(),
            waiting.step().number(),
            TimeUnit.NANOSECONDS.toMillis(waiting.timing().waitedNanos()),
            TimeUnit.NANOSECONDS.toMillis(waiting.timing().objectiveNanos()));
        context.count("fescuehook.batch.starts.deferred", "cause", "faster-executors");
      }
    }
  }

  /** Returns the steps that are ready to start. */
  public List<WaitingStep> waiting(BatchContext context) {
    List<WaitingStep> waiting = new ArrayList<>();
    for (ActiveJob job : jobs.registry().activeJobs()) {
      if (!job.open()) {
        continue;
      }
      JobQueue queue = jobs.queue(job);
      for (StepProgress step : job.steps()) {
        if (!step.done() && job.mayRun(step, context.wallMillis())) {
          collect(step, queue, waiting, context);
        }
      }
    }
    return waiting;
  }

  private void collect(
      StepProgress step, JobQueue queue, List<WaitingStep> waiting, BatchContext context) {
    List<TaskProgress> tasks = step.startable();
    boolean complete = !step.spec().gang() || tasks.size() == step.spec().count();
    if (tasks.isEmpty() || !complete) {
      return;
    }
    long accepted = step.job().job().acceptedMillis();
    StepTiming timing = timing(step, queue, context);
    Optional<StepAdvice> known =
        queue.advised() ? Optional.of(advice.advice(step, context.nowNanos())) : Optional.empty();
    List<List<TaskProgress>> groups =
        PlacementGroups.of(
            step,
            tasks,
            queue.maxAttempts(),
            statistics.reliability().enabled(),
            context.nowNanos());
    for (List<TaskProgress> group : groups) {
      waiting.add(
          new WaitingStep(
              step,
              group,
              queue.pool(),
              rank(step.job()),
              accepted,
              timing,
              known,
              queue.maxAttempts(),
              StartRequirement.ANY,
              Avoidance.NONE));
    }
  }

  /** Returns when a step was due, milliseconds since 1970. */
  private static long dueMillis(StepProgress step) {
    Submission submission = step.job().job().submission();
    long accepted = step.job().job().acceptedMillis();
    return submission
        .schedule()
        .map(schedule -> Math.max(accepted, schedule.dueMillis(step.occurrence())))
        .orElse(accepted);
  }

  private StepTiming timing(StepProgress step, JobQueue queue, BatchContext context) {
    long objectiveMillis = queue.objectiveMillis(step.job().estimatedChainMillis());
    double ratio = statistics.runTimes().expectedRatio(step);
    double lowRatio = statistics.runTimes().lowRatio(step);
    long chainMillis = step.estimatedChainMillis();
    long spareMillis = objectiveMillis - Math.round(chainMillis * ratio);
    long waitedMillis = Math.max(0, context.wallMillis() - dueMillis(step));
    long queuedNanos = context.nowNanos() - step.queuedSince(context.nowNanos());
    if (step.spec().longRunning().isPresent()) {
      return StepTiming.ofLongRunning(queuedNanos);
    }
    return new StepTiming(
        TimeUnit.MILLISECONDS.toNanos(waitedMillis),
        queuedNanos,
        TimeUnit.MILLISECONDS.toNanos(spareMillis),
        TimeUnit.MILLISECONDS.toNanos(objectiveMillis),
        TimeUnit.MILLISECONDS.toNanos(objectiveMillis - chainMillis),
        TimeUnit.MILLISECONDS.toNanos(objectiveMillis - Math.round(chainMillis * lowRatio)));
  }

  /** Tells whether the result of a run will come too late to be of any use to the caller. */
  private boolean useless(LiveRun run, BatchContext context) {
    StepProgress step = run.step();
    if (step.spec().longRunning().isPresent()) {
      return false;
    }
    long leftMillis = statistics.runTimes().expectedLeftMillis(run, context.nowNanos());
    long objectiveMillis =
        jobs.queue(step.job()).objectiveMillis(step.job().estimatedChainMillis());
    long endsAfterMillis = context.wallMillis() - dueMillis(step) + leftMillis;
    return endsAfterMillis > objectiveMillis * JobQueue.MAX_USEFUL_OBJECTIVES;
  }

  private Rank rank(ActiveJob job) {
    JobQueue queue = jobs.queue(job);
    String organisation = job.job().organisation();
    int guaranteed = jobs.configuration().guaranteedAccelerators(organisation);
    int needed = guaranteedNeed.getOrDefault(organisation, 0);
    boolean coveredByGuarantee = queue.priority() == 0 && needed > 0 && needed <= guaranteed;
    return coveredByGuarantee ? Rank.GUARANTEED : Rank.ofPriority(queue.priority());
  }

  /**
   * Returns whether the guarantee of an organisation may cover a new job, by the rule for the rank
   * of accepted jobs. The need is that of the last plan; a job without accelerators counts as
   * covered while it is within the guarantee, so that in doubt it is accepted.
   */
  public boolean mayBeGuaranteed(String organisation, JobQueue queue, int accelerators) {
    int guaranteed = jobs.configuration().guaranteedAccelerators(organisation);
    int needed = guaranteedNeed.getOrDefault(organisation, 0) + accelerators;
    return queue.priority() == 0 && guaranteed > 0 && needed <= guaranteed;
  }

  /** Returns the number of accelerators that the open jobs of priority 0 need, by organisation. */
  private Map<String, Integer> guaranteedNeed() {
    Map<String, Integer> need = new HashMap<>();
    for (ActiveJob job : jobs.registry().activeJobs()) {
      if (job.open() && jobs.queue(job).priority() == 0) {
        int accelerators =
            job.steps().stream()
                .filter(step -> !step.done())
                .mapToInt(step -> step.spec().demand().accelerators() * step.spec().count())
                .sum();
        need.merge(job.job().organisation(), accelerators, Integer::sum);
      }
    }
    return need;
  }

  private void start(List<TaskPlacement> placements, BatchContext context) {
    Set<ActiveJob> changedJobs = new LinkedHashSet<>();
    List<LiveRun> runs = new ArrayList<>();
    Map<StepProgress, Integer> gangRuns = new HashMap<>();
    for (TaskPlacement placement : placements) {
      StepProgress step = placement.step();
      boolean gang = step.spec().gang();
      int number =
          gang
              ? gangRuns.computeIfAbsent(step, StepProgress::nextGangRun)
              : placement.task().lastRun() + 1;
      String checkpoint = gang ? step.gangCheckpoint() : placement.task().checkpoint();
      TaskRun name = new TaskRun(step.name(placement.task()), number);
      Incarnation executor = placement.executor().incarnation();
      Optional<String> ticket = advice.ticket(step, executor, context.nowNanos());
      LiveRun run = LiveRun.placed(name, executor, step, checkpoint, ticket, context.nowNanos());
      StepTiming timing = timing(step, jobs.queue(step.job()), context);
      context.stage("queued", timing.queuedNanos());
      int othersOfStep = placement.executor().countTasks(step);
      step.begin(placement.task(), run);
      placement.executor().add(run);
      changedJobs.add(step.job());
      noteTrial(run, context);
      runs.add(run);
      context.note(
          BatchLogEvent.RUN_PLACED,
          name,
          run.incarnation(),
          placement.executor().profile().rack(),
          rank(step.job()),
          TimeUnit.NANOSECONDS.toMillis(timing.waitedNanos()),
          TimeUnit.NANOSECONDS.toMillis(timing.spareNanos()),
          othersOfStep,
          limitPerExecutor(step));
    }
    for (ActiveJob job : changedJobs) {
      List<LiveRun> runsOfJob = runs.stream().filter(run -> run.step().job() == job).toList();
      jobs.persist(job, () -> storedRuns.addAll(runsOfJob));
    }
  }

  private void noteTrial(LiveRun run, BatchContext context) {
    ExecutorStanding standing =
        statistics.reliability().standing(run.executor(), context.nowNanos());
    if (standing.doubted()) {
      long percent = Math.round(standing.faultProbability() * PERCENT);
      context.note(BatchLogEvent.DOUBTED_EXECUTOR_TRIED, run.run(), run.incarnation(), percent);
      context.count(
          "fescuehook.batch.trials", "work", run.step().spec().gang() ? "gang" : "single");
    }
  }

  private static String limitPerExecutor(StepProgress step) {
    int limit = step.spec().placement().maxPerExecutor();
    return limit == 0 ? "none" : String.valueOf(limit);
  }

  /** Orders the start of the runs whose placements have been stored since the last call. */
  public void startStored(BatchContext context) {
    for (LiveRun run : storedRuns) {
      boolean stillReserved =
          executors
              .registry()
              .find(run.executor())
              .flatMap(state -> state.run(run.run()))
              .isPresent();
      if (stillReserved && run.stage() == Stage.PLACED) {
        executors.start(run, jobs.queue(run.step().job()).pool(), context);
      }
    }
    storedRuns.clear();
  }
}
