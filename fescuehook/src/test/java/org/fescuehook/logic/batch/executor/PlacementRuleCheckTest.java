package org.fescuehook.logic.batch.executor;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.BatchStep.PlacementRule;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.junit.jupiter.api.Test;

class PlacementRuleCheckTest {

  private static final long NOW = 1_000_000_000L;

  private final BatchContext context = new BatchContext(NOW, 0);
  private final ExecutorState executor =
      new ExecutorState(
          new ExecutorProfile(
              Incarnation.ofUnknownStart(new ExecutorId("e")),
              InetSocketAddress.createUnresolved("e", 1),
              "pool",
              new FailureDomain("a"),
              new RackId("r"),
              Set.of("large"),
              new ResourceVector(64_000, 262_144, 8),
              false,
              0),
          new OrderBaseline(0, 0));

  private static StepProgress step(Optional<String> label, int maxPerExecutor) {
    BatchStep spec =
        new BatchStep(
            3,
            new ResourceVector(1000, 1000, 1),
            1000,
            List.of(),
            new PlacementRule(false, label, Optional.empty(), maxPerExecutor),
            false,
            false,
            "image");
    JobQueue queue = new JobQueue("q", "pool", 1, 4, 3, 1000, false, false);
    Submission submission = new Submission("spec", List.of(spec), Optional.empty());
    return new ActiveJob(new BatchJob("%016x".formatted(1), queue, "o", 0, submission))
        .steps()
        .getFirst();
  }

  private LiveRun add(StepProgress step, int task) {
    TaskRun name = new TaskRun(step.name(step.tasks().get(task)), 1);
    LiveRun run =
        LiveRun.placed(
            name, executor.incarnation(), step, "", Optional.empty(), context.nowNanos());
    executor.add(run);
    return run;
  }

  private void start(LiveRun run) {
    run.enter(LiveRun.Stage.RUNNING, context.nowNanos());
    PlacementRuleCheck.check(executor, run, context);
  }

  private List<Object> reportedRuns() {
    return context.commands().stream()
        .filter(BatchCommand.Note.class::isInstance)
        .map(BatchCommand.Note.class::cast)
        .filter(note -> note.event() == BatchLogEvent.PLACEMENT_RULE_BROKEN)
        .map(note -> note.arguments().getFirst())
        .toList();
  }

  @Test
  void theTaskOverTheLimitIsReported() {
    StepProgress step = step(Optional.empty(), 2);
    LiveRun third = add(step, 2);
    start(add(step, 0));
    start(add(step, 1));
    start(third);
    assertEquals(List.of(third.run()), reportedRuns());
  }

  @Test
  void tasksOfOtherStepsDoNotCount() {
    start(add(step(Optional.empty(), 1), 0));
    start(add(step(Optional.empty(), 1), 0));
    assertEquals(List.of(), reportedRuns());
  }

  @Test
  void aTaskWithoutItsLabelIsReported() {
    LiveRun wrong = add(step(Optional.of("small"), 0), 0);
    start(wrong);
    start(add(step(Optional.of("large"), 0), 1));
    assertEquals(List.of(wrong.run()), reportedRuns());
  }
}
