package org.fescuehook.logic.batch.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.executor.OrderBaseline;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.OpenJob;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.Demand;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.preferences.WorkPreferences;
import org.junit.jupiter.api.Test;

/**
 * A step fills a fleet that was idle. Seen: in the same plan it also stopped the work of others
 * away from its data, and what it took there was missing to the step after it. How it came about:
 * two of three executors were free and one half, and three tasks had waited for the rack with their
 * data; after 12 s in an idle fleet they could start anywhere, and two did. Cause: the third was
 * still planned as if the fleet were idle, although the two had just filled it.
 */
class FilledFleetTest {

  private static final long NOW = Duration.ofHours(1).toNanos();
  private static final long LONG = Duration.ofSeconds(13).toNanos();
  private static final long BRIEFLY = Duration.ofSeconds(1).toNanos();
  private static final int WHOLE = 8;
  private static final int HALF = 4;
  private static final RackId DATA = new RackId("data");
  private static final RackId AWAY = new RackId("away");
  private static final WorkPreferences WORK =
      new WorkPreferences(
          Duration.ofSeconds(2),
          Duration.ofMillis(600),
          Duration.ofMillis(200),
          Duration.ofMillis(2700));

  private final ExecutorState near = executor("near", DATA);
  private final ExecutorState far = executor("far", AWAY);
  private final ExecutorState shared = executor("shared", AWAY);
  private final WaitingStep filling = waiting(step(1, 0, 3, WHOLE, Optional.of(DATA)), 1);
  private final WaitingStep next = waiting(step(2, 0, 1, HALF, Optional.empty()), 2);

  FilledFleetTest() {
    StepProgress other = step(3, 1, 1, HALF, Optional.empty());
    TaskRun name = new TaskRun(other.name(other.tasks().getFirst()), 1);
    LiveRun run =
        LiveRun.placed(name, shared.incarnation(), other, "", Optional.empty(), NOW - BRIEFLY);
    run.enter(LiveRun.Stage.RUNNING, NOW - BRIEFLY);
    other.begin(other.tasks().getFirst(), run);
    shared.add(run);
  }

  private static ExecutorState executor(String name, RackId rack) {
    return new ExecutorState(
        new ExecutorProfile(
            Incarnation.undated(new ExecutorId(name)),
            InetSocketAddress.createUnresolved(name, 1),
            "pool",
            new FailureDomain("domain"),
            rack,
            Set.of(),
            new Demand(64_000, 262_144, WHOLE),
            false,
            0),
        new OrderBaseline(0, 0));
  }

  private static StepProgress step(
      int job, int priority, int count, int accelerators, Optional<RackId> affinity) {
    BatchStep spec =
        new BatchStep(
            count,
            new Demand(1000, 1000, accelerators),
            10_000,
            List.of(),
            new BatchStep.PlacementRule(false, Optional.empty(), affinity, 0),
            false,
            false,
            "image");
    JobQueue queue = new JobQueue("queue", "pool", priority, 4, 3, 1000, false, false);
    Submission submission = new Submission("spec", List.of(spec), Optional.empty());
    return new OpenJob(new BatchJob("%016x".formatted(job), queue, "o", 0, submission))
        .steps()
        .getFirst();
  }

  private static WaitingStep waiting(StepProgress step, long acceptedMillis) {
    long objective = Duration.ofMinutes(1).toNanos();
    StepTiming timing = new StepTiming(LONG, LONG, objective, objective);
    return new WaitingStep(
        step, step.waiting(), "pool", Rank.ofPriority(0), acceptedMillis, timing, Optional.empty());
  }

  private Planner.Plan plan() {
    return new Planner(step -> Rank.ofPriority(step.job().job().queue().priority()), WORK)
        .plan(List.of(filling, next), List.of(near, far, shared), NOW);
  }

  private static List<ExecutorState> executorsOf(WaitingStep waiting, Planner.Plan plan) {
    return plan.starts().stream()
        .filter(place -> place.step() == waiting.step())
        .map(TaskPlacement::executor)
        .toList();
  }

  @Test
  void allThatIsFreeIsUsedAwayFromTheDataToo() {
    assertEquals(List.of(near, far), executorsOf(filling, plan()));
  }

  @Test
  void onceTheFleetIsFilledNothingIsStoppedForAStartAwayFromTheData() {
    assertEquals(List.of(), plan().stops());
  }

  @Test
  void theStepAfterItStartsInTheRoomThatIsLeft() {
    assertEquals(List.of(shared), executorsOf(next, plan()));
  }
}
