package org.fescuehook.logic.batch.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.wire.batch.StoredProgress;
import org.fescuehook.wire.batch.StoredStepProgress;
import org.fescuehook.wire.batch.StoredTaskProgress;
import org.junit.jupiter.api.Test;

class JobCodecTest {

  private static final JobQueue QUEUE = new JobQueue("q", "pool", 1, 2, 3, 1000, false, true);

  private static BatchJob job(boolean gang, Optional<BatchStep.LongRunning> lasting) {
    BatchStep step =
        new BatchStep(
            3,
            new ResourceVector(1000, 100, 1),
            500,
            List.of(),
            BatchStep.PlacementRule.ANYWHERE,
            true,
            gang,
            "image",
            lasting);
    return new BatchJob(
        "a1", QUEUE, "north", 7, new Submission("spec", List.of(step), Optional.empty()));
  }

  @Test
  void aDecodedJobEqualsTheEncodedOne() throws Exception {
    BatchJob job = job(false, Optional.of(new BatchStep.LongRunning(2, 80)));
    assertEquals(job, JobCodec.decodeJob("a1", JobCodec.encode(job)));
  }

  /**
   * Guards against counting a failed run of a gang twice: two of its members fail, and the owner
   * changes in between. A job with two attempts was then reported as failed after the first.
   */
  @Test
  void aFailedRunOfAGangCountsOnceEvenIfTheOwnerChanges() throws Exception {
    ActiveJob former = new ActiveJob(job(true, Optional.empty()));
    StepProgress step = former.steps().getFirst();
    assertEquals(1, step.fail(step.tasks().get(0), 1, incarnation("e1"), 0));

    ActiveJob restored = new ActiveJob(job(true, Optional.empty()));
    JobCodec.restore(restored, JobCodec.encodeProgress(former), 0);
    StepProgress same = restored.steps().getFirst();

    assertEquals(1, same.fail(same.tasks().get(1), 1, incarnation("e2"), 0));
    assertEquals(2, same.fail(same.tasks().get(1), 2, incarnation("e2"), 0));
  }

  @Test
  void theTimeOfTheLastFailureIsRestoredByTheNextOwner() throws Exception {
    ActiveJob former = new ActiveJob(job(true, Optional.empty()));
    StepProgress step = former.steps().getFirst();
    step.fail(step.tasks().get(0), 1, incarnation("e1"), 0);
    step.setLastFailedMillis(4000);

    ActiveJob restored = new ActiveJob(job(true, Optional.empty()));
    JobCodec.restore(restored, JobCodec.encodeProgress(former), 0);

    assertEquals(OptionalLong.of(4000), restored.steps().getFirst().lastFailedMillis(5000));
  }

  /** An earlier version stored failures without their time. */
  @Test
  void anUnknownTimeOfAFailureCountsAsNow() throws Exception {
    ActiveJob former = new ActiveJob(job(true, Optional.empty()));
    begin(former, 0, 1);
    StepProgress step = former.steps().getFirst();
    assertEquals(OptionalLong.empty(), step.lastFailedMillis(5000));
    step.fail(step.tasks().get(0), 1, incarnation("e1"), 0);

    ActiveJob restored = new ActiveJob(job(true, Optional.empty()));
    JobCodec.restore(restored, JobCodec.encodeProgress(former), 0);

    assertEquals(OptionalLong.of(5000), restored.steps().getFirst().lastFailedMillis(5000));
  }

  /** Otherwise the next owner would not know of failures of jobs that have ended since. */
  @Test
  void theTimesOfFailuresAreKeptWithAnEndedJob() throws Exception {
    ActiveJob job = new ActiveJob(job(true, Optional.empty()));
    StepProgress step = job.steps().getFirst();
    step.setLastFailedMillis(4000);
    step.finish(step.tasks().getFirst());
    job.end(JobPhase.COMPLETED, 4500);
    assertEquals(List.of(4000L), JobCodec.failuresOfEnded("a1", JobCodec.encodeProgress(job)));
  }

  @Test
  void aJobThatFailedUnderAnEarlierVersionCountsWithItsEnd() throws Exception {
    byte[] stored = ended(StoredProgress.State.FAILED, 4500);
    assertEquals(List.of(4500L), JobCodec.failuresOfEnded("a1", stored));
    byte[] completed = ended(StoredProgress.State.COMPLETED, 4500);
    assertEquals(List.of(), JobCodec.failuresOfEnded("a1", completed));
  }

  private static byte[] ended(StoredProgress.State state, long millis) {
    return StoredProgress.newBuilder().setState(state).setEndedMillis(millis).build().toByteArray();
  }

  /** A new owner that counted from zero would let the task crash three more executors. */
  @Test
  void theCrashRecordOfATaskIsRestoredByTheNextOwner() throws Exception {
    ActiveJob former = new ActiveJob(job(false, Optional.empty()));
    StepProgress step = former.steps().getFirst();
    TaskRun run = new TaskRun(step.name(step.tasks().get(1)), 1);
    step.begin(step.tasks().get(1), LiveRun.inherited(run, incarnation("e1"), step, 0));
    Incarnation lost = new Incarnation(new ExecutorId("e1"), OptionalLong.of(17));
    step.tasks().get(1).crashed(CrashEvidence.DOUBTFUL, 1, lost);
    step.tasks().get(1).crashed(CrashEvidence.WEAK, 2, lost);
    step.tasks().get(1).crashed(CrashEvidence.STRONG_ALONE, 4, lost);
    step.tasks().get(1).crashed(CrashEvidence.UNRESOLVED, 5, lost);

    ActiveJob restored = new ActiveJob(job(false, Optional.empty()));
    JobCodec.restore(restored, JobCodec.encodeProgress(former), 0);

    List<TaskProgress> tasks = restored.steps().getFirst().tasks();
    assertEquals(step.tasks().get(1).crashes(), tasks.get(1).crashes());
    assertEquals(4, tasks.get(1).crashes().losses().size());
    assertEquals(CrashRecord.NONE, tasks.get(0).crashes());
  }

  /** A version that kept only numbers of losses may have stored the record. */
  @Test
  void theCrashRecordOfAnEarlierVersionIsRestored() throws Exception {
    ActiveJob former = new ActiveJob(job(false, Optional.empty()));
    begin(former, 1, 4);
    StoredProgress stored = StoredProgress.parseFrom(JobCodec.encodeProgress(former));
    StoredTaskProgress.Builder task =
        stored.getSteps(0).getTasks(0).toBuilder()
            .setEarlyCrashes(1)
            .setLateCrashes(1)
            .setOtherLosses(1)
            .setCrashedAlone(true)
            .setThirdLossRun(4);
    StoredStepProgress.Builder step = stored.getSteps(0).toBuilder().setTasks(0, task);
    byte[] earlier = stored.toBuilder().setSteps(0, step).build().toByteArray();

    ActiveJob restored = new ActiveJob(job(false, Optional.empty()));
    JobCodec.restore(restored, earlier, 0);

    CrashRecord crashes = restored.steps().getFirst().tasks().get(1).crashes();
    assertEquals(List.of(1, 1, 1), List.of(crashes.early(), crashes.late(), crashes.other()));
    assertTrue(crashes.alone());
    assertEquals(4, crashes.thirdLossRun());
  }

  /** Runs that the next owner does not know would continue until their leases expire. */
  @Test
  void theLiveRunsOfAnEndedJobAreRestoredByTheNextOwner() throws Exception {
    ActiveJob former = new ActiveJob(job(false, Optional.empty()));
    LiveRun run = begin(former, 1, 4);
    former.end(JobPhase.CANCELLED, 17);

    ActiveJob restored = new ActiveJob(job(false, Optional.empty()));
    JobCodec.restore(restored, JobCodec.encodeProgress(former), 0);

    assertEquals(Optional.of(JobPhase.CANCELLED), restored.end());
    assertEquals(List.of(run.run()), restored.liveRuns().stream().map(LiveRun::run).toList());
    assertEquals(run.incarnation(), restored.liveRuns().getFirst().incarnation());
  }

  /** The step was completed by another run of the task; the next owner has to stop this one. */
  @Test
  void theLiveRunsOfADoneStepAreRestoredByTheNextOwner() throws Exception {
    ActiveJob former = new ActiveJob(job(false, Optional.empty()));
    LiveRun run = begin(former, 2, 1);
    StepProgress step = former.steps().getFirst();
    step.tasks().forEach(step::finish);

    ActiveJob restored = new ActiveJob(job(false, Optional.empty()));
    JobCodec.restore(restored, JobCodec.encodeProgress(former), 0);

    assertTrue(restored.steps().getFirst().done());
    assertEquals(List.of(run.run()), restored.liveRuns().stream().map(LiveRun::run).toList());
  }

  /** The record of the job itself is removed with its end. */
  @Test
  void theEndOfAJobTellsItsQueueAndOrganisation() throws Exception {
    ActiveJob job = new ActiveJob(job(false, Optional.empty()));
    job.end(JobPhase.COMPLETED, 9);
    JobScope scope = new JobScope("q", "north");
    assertEquals(
        Optional.of(new JobRegistry.EndedJob(JobPhase.COMPLETED, 9, Optional.of(scope))),
        JobCodec.decodeEnd("a1", JobCodec.encodeProgress(job)));
  }

  /** VMs are replaced one by one, so that an owner reads what an earlier version has stored. */
  @Test
  void anEndStoredByAnEarlierVersionHasNoScope() throws Exception {
    byte[] stored =
        StoredProgress.newBuilder()
            .setState(StoredProgress.State.CANCELLED)
            .setEndedMillis(9)
            .build()
            .toByteArray();
    JobRegistry.EndedJob end = JobCodec.decodeEnd("a1", stored).orElseThrow();
    assertEquals(new JobRegistry.EndedJob(JobPhase.CANCELLED, 9, Optional.empty()), end);

    JobRegistry registry = new JobRegistry();
    registry.addEarlyCancel(JobCodec.unscopedEarlyCancelKey("a1"), end, 0);
    assertEquals(Optional.of(end), registry.earlyCancel("a1", new JobScope("q", "north")));
  }

  @Test
  void earlyCancelsOfSeveralScopesHaveKeysOfTheirOwn() {
    JobScope scope = new JobScope("q", "north");
    String key = JobCodec.earlyCancelKey("a1", scope);
    assertTrue(JobCodec.isEarlyCancelKey(key));
    assertEquals(key, JobCodec.earlyCancelKey("a1", new JobScope("q", "north")));
    assertNotEquals(key, JobCodec.earlyCancelKey("a1", new JobScope("q", "south")));
    assertNotEquals(key, JobCodec.earlyCancelKey("a1", new JobScope("p", "north")));
    assertNotEquals(key, JobCodec.earlyCancelKey("a2", scope));
  }

  private static Incarnation incarnation(String executor) {
    return new Incarnation(new ExecutorId(executor), OptionalLong.of(1_786_115_069_591L));
  }

  private static LiveRun begin(ActiveJob job, int task, int number) {
    StepProgress step = job.steps().getFirst();
    TaskProgress begun = step.tasks().get(task);
    TaskRun run = new TaskRun(step.name(begun), number);
    LiveRun live = LiveRun.inherited(run, incarnation("e1"), step, 0);
    step.begin(begun, live);
    return live;
  }
}
