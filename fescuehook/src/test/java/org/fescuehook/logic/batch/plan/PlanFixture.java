package org.fescuehook.logic.batch.plan;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.executor.OrderBaseline;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.BatchOrganisation;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.fescuehook.model.preferences.WorkPreferences;

/** A fleet with running and waiting steps, and plans for them. */
final class PlanFixture {

  static final long NOW = Duration.ofHours(1).toNanos();
  static final int WHOLE_EXECUTOR = 8;

  static final WorkPreferences WORK =
      new WorkPreferences(
          Duration.ofSeconds(2),
          Duration.ofMillis(600),
          Duration.ofMillis(200),
          Duration.ofSeconds(3),
          Duration.ofMillis(2700));

  final List<ExecutorState> executors = new ArrayList<>();
  final List<WaitingStep> waiting = new ArrayList<>();
  final SchedulingStatistics statistics;
  private final Planner planner;
  private int jobs;

  /** Creates a fleet of executors with 8 accelerators each. */
  PlanFixture(int executorCount, int perRack, SchedulingPreferences preferences) {
    statistics = SchedulingStatistics.create(preferences);
    planner =
        new Planner(step -> Rank.ofPriority(step.job().job().queue().priority()), WORK, statistics);
    for (int i = 0; i < executorCount; i++) {
      executors.add(executor(i, "r" + i / perRack));
    }
  }

  /** Adds an executor of the same size. */
  void addExecutor(String rack) {
    executors.add(executor(executors.size(), rack));
  }

  private static ExecutorState executor(int number, String rack) {
    return new ExecutorState(
        new ExecutorProfile(
            Incarnation.ofUnknownStart(new ExecutorId("e" + number)),
            InetSocketAddress.createUnresolved("e", 1),
            "pool",
            new FailureDomain("domain"),
            new RackId(rack),
            Set.of(),
            new ResourceVector(64_000, 262_144, WHOLE_EXECUTOR),
            false,
            0),
        new OrderBaseline(0, 0));
  }

  /** Returns tasks that each take some accelerators and the same share of cores and memory. */
  static BatchStep tasks(int count, int accelerators, long millis) {
    return spec(count, accelerators, millis, false);
  }

  /** Returns a gang that must be in one rack. */
  static BatchStep gang(int count, int accelerators, long millis) {
    return spec(count, accelerators, millis, true);
  }

  private static BatchStep spec(int count, int accelerators, long millis, boolean gang) {
    return new BatchStep(
        count,
        new ResourceVector(8_000 * accelerators, 32_768 * accelerators, accelerators),
        millis,
        List.of(),
        new BatchStep.PlacementRule(gang, Optional.empty(), Optional.empty(), 0),
        false,
        gang,
        "image");
  }

  private StepProgress step(String organisation, int priority, BatchStep spec) {
    jobs++;
    JobQueue queue = new JobQueue("q" + priority, "pool", priority, 4, 3, 1000, false, false);
    Submission submission = new Submission("spec", List.of(spec), Optional.empty());
    return new ActiveJob(
            new BatchJob("%016x".formatted(jobs), queue, organisation, jobs, submission))
        .steps()
        .getFirst();
  }

  /** Adds a step that waits; steps are accepted in the order of these calls. */
  WaitingStep submit(String organisation, int priority, BatchStep spec) {
    return submit(organisation, priority, spec, 0);
  }

  /** Adds a step that waits and that a guarantee covers. */
  WaitingStep submitGuaranteed(BatchStep spec) {
    return submit("guaranteed", 0, spec, 0, Rank.GUARANTEED);
  }

  /** Adds a step that has waited for some time. */
  WaitingStep submit(String organisation, int priority, BatchStep spec, long queuedNanos) {
    return submit(organisation, priority, spec, queuedNanos, Rank.ofPriority(priority));
  }

  private WaitingStep submit(
      String organisation, int priority, BatchStep spec, long queuedNanos, Rank rank) {
    StepProgress step = step(organisation, priority, spec);
    long objective = Duration.ofMinutes(1).toNanos();
    WaitingStep added =
        new WaitingStep(
            step,
            step.waiting(),
            "pool",
            rank,
            jobs,
            new StepTiming(queuedNanos, queuedNanos, objective, objective),
            Optional.empty());
    waiting.add(added);
    return added;
  }

  /** Runs one task on an executor since a second ago. */
  LiveRun run(String organisation, int priority, BatchStep spec, int executor) {
    return run(organisation, priority, spec, executor, NOW - Duration.ofSeconds(1).toNanos());
  }

  /** Runs one task on an executor since a time. */
  LiveRun run(String organisation, int priority, BatchStep spec, int executor, long since) {
    StepProgress step = step(organisation, priority, spec);
    ExecutorState on = executors.get(executor);
    TaskRun name = new TaskRun(step.name(step.tasks().getFirst()), 1);
    LiveRun run = LiveRun.placed(name, on.incarnation(), step, "", Optional.empty(), since);
    run.enter(LiveRun.Stage.RUNNING, since);
    step.begin(step.tasks().getFirst(), run);
    on.add(run);
    return run;
  }

  void observe(List<BatchOrganisation> organisations, long nowNanos) {
    statistics.usage().observe(executors, organisations, nowNanos);
  }

  Planner.Plan plan() {
    return plan(NOW);
  }

  Planner.Plan planAt(long nowNanos) {
    return plan(nowNanos);
  }

  Planner.Plan plan(long nowNanos) {
    return planner.plan(waiting, executors, nowNanos);
  }

  /** Returns the organisations of the tasks that a plan starts, in the order of placement. */
  List<String> startedOrganisations() {
    return plan().starts().stream().map(start -> start.step().job().job().organisation()).toList();
  }
}
