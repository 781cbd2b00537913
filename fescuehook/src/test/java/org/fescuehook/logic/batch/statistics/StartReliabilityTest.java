package org.fescuehook.logic.batch.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.executor.OrderBaseline;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.junit.jupiter.api.Test;

/** Guards against failures that are counted against the wrong one of executors and jobs. */
class StartReliabilityTest {

  private static final long SECOND = Duration.ofSeconds(1).toNanos();

  private final StartReliability reliability = new StartReliability(true);
  private long now = Duration.ofHours(1).toNanos();
  private int jobs;

  private static Incarnation executor(int number) {
    return Incarnation.ofUnknownStart(new ExecutorId("e" + number));
  }

  private StepProgress job(int tasks, boolean gang) {
    jobs++;
    BatchStep step =
        new BatchStep(
            tasks,
            new ResourceVector(1000, 1000, 1),
            1000,
            List.of(),
            BatchStep.PlacementRule.ANYWHERE,
            false,
            gang,
            "image");
    Submission submission = new Submission("spec", List.of(step), Optional.empty());
    JobQueue queue = new JobQueue("q", "pool", 1, 3, 3, 1000, false, false);
    return new ActiveJob(new BatchJob("%016x".formatted(jobs), queue, "o", 0, submission))
        .steps()
        .getFirst();
  }

  private LiveRun start(StepProgress step, int task, int executor) {
    TaskRun name = new TaskRun(step.name(step.tasks().get(task)), 1);
    LiveRun run = LiveRun.placed(name, executor(executor), step, "", Optional.empty(), now);
    run.enter(LiveRun.Stage.STARTING, now);
    run.enter(LiveRun.Stage.RUNNING, now);
    step.begin(step.tasks().get(task), run);
    return run;
  }

  private List<BatchLogEvent> end(LiveRun run, RunEnd end) {
    BatchContext context = new BatchContext(now, 0);
    run.step().end(run.step().tasks().get(run.run().task().index()));
    reliability.ended(run.incarnation(), run, end, context);
    return events(context);
  }

  private static List<BatchLogEvent> events(BatchContext context) {
    return context.commands().stream()
        .filter(command -> command instanceof BatchCommand.Note)
        .map(command -> (BatchLogEvent) ((BatchCommand.Note) command).event())
        .toList();
  }

  private List<BatchLogEvent> fail(StepProgress step, int executor) {
    LiveRun run = start(step, 0, executor);
    now += SECOND / 5;
    return end(run, RunEnd.FAILED);
  }

  private List<BatchLogEvent> succeed(int executor) {
    LiveRun run = start(job(1, false), 0, executor);
    now += SECOND / 5;
    return end(run, RunEnd.DONE);
  }

  private List<BatchLogEvent> observe() {
    BatchContext context = new BatchContext(now, 0);
    reliability.observe(context);
    return events(context);
  }

  private ExecutorStanding standing(int executor) {
    return reliability.standing(executor(executor).id(), now);
  }

  @Test
  void oneFailureMakesAnExecutorDoubtedUntilARunEndsWell() {
    assertEquals(List.of(BatchLogEvent.EXECUTOR_DOUBTED), fail(job(1, false), 1));
    assertTrue(standing(1).doubted());
    assertTrue(reliability.backoff(executor(1).id(), now).isEmpty());
    assertEquals(1, standing(1).maxTrials());
    now += SECOND;
    assertEquals(1, standing(1).maxTrials());
    now -= SECOND;
    assertEquals(List.of(BatchLogEvent.EXECUTOR_TRUSTED), succeed(1));
    assertFalse(standing(1).doubted());
  }

  /** The backoff ends when the fault should be over that the failed run has met at its start. */
  @Test
  void anExecutorThatFailsSeveralJobsReturnsStepByStep() {
    for (int i = 0; i < 4; i++) {
      fail(job(1, false), 1);
    }
    assertEquals(Optional.of(Duration.ofMillis(5800)), reliability.backoff(executor(1).id(), now));
    succeed(1);
    assertEquals(1, standing(1).maxTrials());
    succeed(1);
    assertEquals(4, standing(1).maxTrials());
    succeed(1);
    assertFalse(standing(1).doubted());
  }

  /** Such a run was cleared by the executor before it became faulty. */
  @Test
  void aRunThatWasStartedBeforeTheFailedOneDoesNotEndTheDoubt() {
    LiveRun earlier = start(job(1, false), 0, 1);
    now += SECOND;
    fail(job(1, false), 1);
    end(earlier, RunEnd.DONE);
    assertTrue(standing(1).doubted());
    assertEquals(OptionalLong.empty(), standing(1).provenSince());
  }

  @Test
  void aGangThatFailsOnSoundExecutorsIsBlamedAndNotTheExecutors() {
    StepProgress gang = job(1, true);
    fail(gang, 1);
    fail(gang, 2);
    assertEquals(List.of(BatchLogEvent.JOB_FAILS_EVERYWHERE), fail(gang, 3));
    for (int executor = 1; executor <= 3; executor++) {
      assertFalse(standing(executor).doubted(), "e" + executor);
    }
  }

  /** A job is not at fault if the executors that failed it fail other jobs as well. */
  @Test
  void aGangThatFailsOnFaultyExecutorsIsNotBlamed() {
    for (int executor = 1; executor <= 3; executor++) {
      fail(job(1, false), executor);
      fail(job(1, false), executor);
    }
    StepProgress gang = job(1, true);
    for (int executor = 1; executor <= 3; executor++) {
      assertEquals(List.of(), fail(gang, executor));
      assertTrue(standing(executor).doubted());
    }
  }

  @Test
  void aStepIsCountedOnceAgainstAnExecutor() {
    StepProgress step = job(8, false);
    List<LiveRun> runs = List.of(start(step, 0, 1), start(step, 1, 1), start(step, 2, 1));
    end(runs.get(0), RunEnd.FAILED);
    double once = standing(1).faultProbability();
    end(runs.get(1), RunEnd.FAILED);
    end(runs.get(2), RunEnd.FAILED);
    assertEquals(once, standing(1).faultProbability());
  }

  @Test
  void doubtFadesWithoutNewEvidence() {
    fail(job(1, false), 1);
    now += 8 * SECOND;
    assertTrue(standing(1).doubted());
    now += 3 * SECOND;
    assertFalse(standing(1).doubted());
  }

  @Test
  void crashesAndRejectedStartsAreEvidence() {
    for (StartEvidence evidence : StartEvidence.values()) {
      BatchContext context = new BatchContext(now, 0);
      Incarnation executor = executor(evidence.ordinal());
      reliability.observed(executor, evidence, context);
      assertEquals(List.of(BatchLogEvent.EXECUTOR_DOUBTED), events(context), evidence::toString);
    }
  }

  /** Guards against records of ended jobs that nothing removes. */
  @Test
  void nothingIsKeptAboutAJobThatHasEnded() {
    StepProgress step = job(2, false);
    step.job().end(JobPhase.CANCELLED, 0);
    reliability.ended(step.job());
    fail(step, 1);
    assertEquals(OptionalLong.empty(), reliability.newestFault(step));
  }

  private void observed(Incarnation executor, StartEvidence evidence) {
    reliability.observed(executor, evidence, new BatchContext(now, 0));
  }

  /** Guards against four unanswered starts of one second that take an executor out of use. */
  @Test
  void observationsOfOneKindCountOncePerSecond() {
    observed(executor(1), StartEvidence.UNANSWERED);
    ExecutorStanding once = standing(1);
    observed(executor(1), StartEvidence.UNANSWERED);
    assertEquals(once, standing(1));
    now += SECOND;
    observed(executor(1), StartEvidence.UNANSWERED);
    assertTrue(standing(1).faultProbability() > once.faultProbability());
  }

  /** Guards against a crash that counts again when the executor is back. */
  @Test
  void anIncarnationCrashesOnce() {
    Incarnation crashed = new Incarnation(executor(1).id(), OptionalLong.of(1));
    observed(crashed, StartEvidence.CRASHED);
    now += 3 * SECOND;
    ExecutorStanding once = standing(1);
    observed(crashed, StartEvidence.CRASHED);
    assertEquals(once, standing(1));
    observed(new Incarnation(executor(1).id(), OptionalLong.of(2)), StartEvidence.CRASHED);
    assertTrue(standing(1).faultProbability() > once.faultProbability());
  }

  /** Guards against a fault of the network of this VM that puts the whole fleet in doubt. */
  @Test
  void startsThatNoExecutorAnswersAreNoEvidence() {
    for (int executor = 0; executor < 20; executor++) {
      observed(executor(executor), StartEvidence.UNANSWERED);
    }
    for (int executor = 0; executor < 20; executor++) {
      assertFalse(standing(executor).doubted(), "e" + executor);
    }
  }

  /** Executors that hang while others work are at fault themselves. */
  @Test
  void unansweredStartsAreEvidenceWhileOtherExecutorsWork() {
    for (int executor = 20; executor < 40; executor++) {
      succeed(executor);
      now -= SECOND / 5;
    }
    for (int executor = 0; executor < 10; executor++) {
      observed(executor(executor), StartEvidence.UNANSWERED);
      assertTrue(standing(executor).doubted(), "e" + executor);
    }
  }

  private void beginWave() {
    for (int executor = 10; executor < 15; executor++) {
      fail(job(1, false), executor);
      now -= SECOND / 5;
    }
    now += SECOND / 5;
  }

  @Test
  void inAWaveOnlyExecutorsOnWhichRunsHaveEndedWellSinceThenAreUsable() {
    succeed(1);
    now += 2 * SECOND;
    beginWave();
    assertEquals(List.of(BatchLogEvent.FAILURE_WAVE), observe());
    assertEquals(List.of(), observe());
    assertFalse(standing(1).doubted());
    assertTrue(standing(1).faultProbability() > ExecutorStanding.TOLERABLE);
    assertTrue(standing(2).faultProbability() > ExecutorStanding.TOLERABLE);
    succeed(1);
    assertTrue(standing(1).faultProbability() <= ExecutorStanding.USABLE);
    now += 7 * SECOND;
    observe();
    assertTrue(standing(2).faultProbability() <= ExecutorStanding.USABLE);
  }

  /** Guards against a bound on the failures counted that a large fleet exceeds. */
  @Test
  void aWaveIsRecognisedInALargeFleet() {
    for (int executor = 0; executor < 810; executor++) {
      LiveRun run = start(job(1, false), 0, executor);
      end(run, executor % 3 == 0 ? RunEnd.FAILED : RunEnd.DONE);
    }
    assertEquals(List.of(BatchLogEvent.FAILURE_WAVE), observe());
  }

  @Test
  void inAWaveARunThatOutlivesTheFailedOnesShowsThatItsExecutorIsNotPartOfIt() {
    beginWave();
    observe();
    ExecutorState executor = new ExecutorState(profile(1), new OrderBaseline(0, 0));
    LiveRun run = start(job(1, false), 0, 1);
    run.progressed(10, now);
    executor.add(run);
    assertTrue(reliability.standing(executor, now).faultProbability() > ExecutorStanding.TOLERABLE);
    now += SECOND / 2;
    assertTrue(reliability.standing(executor, now).faultProbability() <= ExecutorStanding.USABLE);
  }

  private static ExecutorProfile profile(int number) {
    return new ExecutorProfile(
        executor(number),
        InetSocketAddress.createUnresolved("e", number),
        "pool",
        new FailureDomain("a"),
        new RackId("r"),
        Set.of(),
        new ResourceVector(8000, 8000, 8),
        false,
        0);
  }

  @Test
  void aJobWhoseTasksAllFailAtTheSameTimeIsNoWave() {
    StepProgress step = job(20, false);
    for (int task = 0; task < 20; task++) {
      start(step, task, task);
    }
    now += SECOND / 5;
    step.liveRuns().forEach(run -> end(run, RunEnd.FAILED));
    assertEquals(List.of(), observe());
  }

  /** When it was started is not known, and its executor may have become faulty since. */
  @Test
  void aRunOfAFormerOwnerProvesNothing() {
    StepProgress step = job(1, false);
    TaskRun name = new TaskRun(step.name(step.tasks().getFirst()), 1);
    LiveRun run = LiveRun.inherited(name, executor(1), step, now);
    step.begin(step.tasks().getFirst(), run);
    end(run, RunEnd.DONE);
    assertEquals(OptionalLong.empty(), standing(1).provenSince());
  }

  @Test
  void nothingIsLearnedIfThePartIsOff() {
    StartReliability off = new StartReliability(false);
    BatchContext context = new BatchContext(now, 0);
    LiveRun run = start(job(1, false), 0, 1);
    off.ended(run.incarnation(), run, RunEnd.FAILED, context);
    off.observed(run.incarnation(), StartEvidence.CRASHED, context);
    off.observe(context);
    assertEquals(ExecutorStanding.UNKNOWN, off.standing(executor(1).id(), now));
    assertEquals(List.of(), context.commands());
  }
}
