package org.fescuehook.logic.batch.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.executor.OrderBaseline;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.BatchJob;
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
import org.fescuehook.model.preferences.WorkPreferences;
import org.junit.jupiter.api.Test;

/**
 * Guards against preemption for the remaining tasks of a step that has just filled an idle fleet.
 * Two of three executors are free and one is half used. Of three tasks that have waited for the
 * rack with their data, two start elsewhere, which is allowed after 12 s in an idle fleet. The
 * third must then not be planned as if the fleet were still idle: that preempted work of others
 * away from the data and took the capacity that the next step needed.
 */
class FilledFleetTest {

  private static final long NOW = Duration.ofHours(1).toNanos();
  private static final long LONG_WAIT = Duration.ofSeconds(13).toNanos();
  private static final long SHORT_WAIT = Duration.ofSeconds(1).toNanos();
  private static final int WHOLE_EXECUTOR = 8;
  private static final int HALF_EXECUTOR = 4;
  private static final RackId DATA_RACK = new RackId("data");
  private static final RackId OTHER_RACK = new RackId("away");
  private static final WorkPreferences WORK =
      new WorkPreferences(
          Duration.ofSeconds(2),
          Duration.ofMillis(600),
          Duration.ofMillis(200),
          Duration.ofSeconds(3),
          Duration.ofMillis(2700));

  private final ExecutorState near = executor("near", DATA_RACK);
  private final ExecutorState far = executor("far", OTHER_RACK);
  private final ExecutorState shared = executor("shared", OTHER_RACK);
  private final WaitingStep fillingStep =
      waiting(step(1, 0, 3, WHOLE_EXECUTOR, Optional.of(DATA_RACK)), 1);
  private final WaitingStep nextStep = waiting(step(2, 0, 1, HALF_EXECUTOR, Optional.empty()), 2);

  FilledFleetTest() {
    StepProgress other = step(3, 1, 1, HALF_EXECUTOR, Optional.empty());
    TaskRun name = new TaskRun(other.name(other.tasks().getFirst()), 1);
    LiveRun run =
        LiveRun.placed(name, shared.incarnation(), other, "", Optional.empty(), NOW - SHORT_WAIT);
    run.enter(LiveRun.Stage.RUNNING, NOW - SHORT_WAIT);
    other.begin(other.tasks().getFirst(), run);
    shared.add(run);
  }

  private static ExecutorState executor(String name, RackId rack) {
    return new ExecutorState(
        new ExecutorProfile(
            Incarnation.ofUnknownStart(new ExecutorId(name)),
            InetSocketAddress.createUnresolved(name, 1),
            "pool",
            new FailureDomain("domain"),
            rack,
            Set.of(),
            new ResourceVector(64_000, 262_144, WHOLE_EXECUTOR),
            false,
            0),
        new OrderBaseline(0, 0));
  }

  private static StepProgress step(
      int job, int priority, int count, int accelerators, Optional<RackId> affinity) {
    BatchStep spec =
        new BatchStep(
            count,
            new ResourceVector(1000, 1000, accelerators),
            10_000,
            List.of(),
            new BatchStep.PlacementRule(false, Optional.empty(), affinity, 0),
            false,
            false,
            "image");
    JobQueue queue = new JobQueue("queue", "pool", priority, 4, 3, 1000, false, false);
    Submission submission = new Submission("spec", List.of(spec), Optional.empty());
    return new ActiveJob(new BatchJob("%016x".formatted(job), queue, "o", 0, submission))
        .steps()
        .getFirst();
  }

  private static WaitingStep waiting(StepProgress step, long acceptedMillis) {
    long objective = Duration.ofMinutes(1).toNanos();
    StepTiming timing = new StepTiming(LONG_WAIT, LONG_WAIT, objective, objective);
    return new WaitingStep(
        step, step.waiting(), "pool", Rank.ofPriority(0), acceptedMillis, timing, Optional.empty());
  }

  private Planner.Plan plan() {
    return new Planner(step -> Rank.ofPriority(step.job().job().queue().priority()), WORK)
        .plan(List.of(fillingStep, nextStep), List.of(near, far, shared), NOW);
  }

  private static List<ExecutorState> executorsOf(WaitingStep waiting, Planner.Plan plan) {
    return plan.starts().stream()
        .filter(placement -> placement.step() == waiting.step())
        .map(TaskPlacement::executor)
        .toList();
  }

  @Test
  void stepUsesTheFreeExecutorsAwayFromItsDataToo() {
    assertEquals(List.of(near, far), executorsOf(fillingStep, plan()));
  }

  @Test
  void nothingIsPreemptedForStartsAwayFromTheDataOnceTheFleetIsFilled() {
    assertEquals(List.of(), plan().stops());
  }

  @Test
  void nextStepStartsInTheRemainingCapacity() {
    assertEquals(List.of(shared), executorsOf(nextStep, plan()));
  }
}
