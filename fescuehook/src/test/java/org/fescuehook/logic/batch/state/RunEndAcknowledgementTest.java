package org.fescuehook.logic.batch.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.executor.Countdown;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.logic.batch.executor.ExecutorDuty;
import org.fescuehook.logic.batch.executor.ExecutorSign;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.executor.ExecutorTimes;
import org.fescuehook.logic.batch.executor.OrderOutcome.EndedRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.executor.RunListener;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;
import org.junit.jupiter.api.Test;

/**
 * Guards against acknowledging the end of a run too early. The owner has given the run up, and its
 * task is done, or its job has ended, in memory only. The end may be acknowledged to the executor
 * only once this is stored, since the next owner knows nothing but what is stored.
 */
class RunEndAcknowledgementTest {

  private static final long EPOCH = 7;
  private static final String JOB = "00000000000000aa";
  private static final JobQueue QUEUE = new JobQueue("q", "pool", 1, 3, 3, 1000, false, false);
  private static final BatchStep TWO_TASKS =
      new BatchStep(
          2,
          new ResourceVector(1000, 1000, 1),
          1000,
          List.of(),
          BatchStep.PlacementRule.ANYWHERE,
          false,
          false,
          "image");

  private final JobRegistry registry = new JobRegistry();
  private final StateWriter writer = new StateWriter(EPOCH, at(0));
  private final JobLifecycle jobs = jobs();
  private final List<Integer> acknowledged = new ArrayList<>();

  private JobLifecycle jobs() {
    Submission submission = new Submission("spec", List.of(TWO_TASKS), Optional.empty());
    registry.add(new ActiveJob(new BatchJob(JOB, QUEUE, "north", 0, submission)));
    Duration lease = Duration.ofSeconds(6);
    ExecutorDuty executors =
        new ExecutorDuty(
            EPOCH,
            new ExecutorTimes(lease, lease, lease, lease),
            new IgnoringListener(),
            SchedulingStatistics.none(),
            at(0));
    return new JobLifecycle(
        registry,
        writer,
        executors,
        SchedulingStatistics.none(),
        new BatchConfiguration(1, Map.of("q", QUEUE), List.of()),
        at(0));
  }

  private static BatchContext at(long millis) {
    return new BatchContext(Duration.ofMillis(millis).toNanos(), millis);
  }

  /** Reports the end of a run, as an executor does under a sequence number. */
  private void ended(int number, int task, RunEnd how) {
    Countdown stored = new Countdown(() -> acknowledged.add(number));
    TaskRun run = new TaskRun(new TaskName(JOB, 0, 0, task), 1);
    jobs.strayEnded(new EndedRun(number, run, how, ""), stored, at(0));
    stored.release();
  }

  private void store(long sequence) {
    writer.appendCompleted(
        new WriterPosition(EPOCH, sequence), new AppendOutcome.Stored(0), at(10));
  }

  @Test
  void theEndOfATaskThatIsDoneOnlyInMemoryIsAcknowledgedOnceThatIsStored() {
    ended(1, 0, RunEnd.DONE);
    ended(2, 0, RunEnd.DONE);
    assertEquals(List.of(), acknowledged);
    writer.flush(at(0));
    ended(3, 0, RunEnd.DONE);
    assertEquals(List.of(), acknowledged);
    store(0);
    assertEquals(List.of(1, 2, 3), acknowledged);
  }

  @Test
  void theEndOfATaskWhoseJobEndedOnlyInMemoryIsAcknowledgedOnceThatIsStored() {
    ended(1, 0, RunEnd.DONE);
    ended(2, 1, RunEnd.DONE);
    ended(3, 1, RunEnd.DONE);
    assertEquals(List.of(), acknowledged);
    writer.flush(at(0));
    store(0);
    assertEquals(List.of(1, 2, 3), acknowledged);
  }

  @Test
  void theEndOfACancelledTaskIsAcknowledgedOnceTheCancelIsStored() {
    jobs.cancel(registry.active(JOB).orElseThrow(), () -> {}, at(0));
    ended(1, 0, RunEnd.DONE);
    assertEquals(List.of(), acknowledged);
    writer.flush(at(0));
    store(0);
    assertEquals(List.of(1), acknowledged);
  }

  /**
   * Callers may be told only what the next owner knows too: a job that was reported as ended must
   * not continue there. The first append here was sent before the job ended and does not contain
   * its end.
   */
  @Test
  void anEndIsNotReportedBeforeItIsStored() {
    ended(1, 0, RunEnd.DONE);
    writer.flush(at(0));
    ended(2, 1, RunEnd.DONE);
    store(0);
    assertEquals(Optional.of(JobPhase.QUEUED), registry.storedPhase(JOB));
    writer.flush(at(20));
    store(1);
    assertEquals(Optional.of(JobPhase.COMPLETED), registry.storedPhase(JOB));
  }

  /** What is stored already is not written again. */
  @Test
  void theEndOfATaskThatIsStoredAsDoneIsAcknowledgedAtOnce() {
    ended(1, 0, RunEnd.DONE);
    writer.flush(at(0));
    store(0);
    ended(2, 0, RunEnd.DONE);
    assertEquals(List.of(1, 2), acknowledged);
    assertEquals(true, writer.idle());
  }

  /** Ignores all events; none are expected, as no run is placed on an executor in this test. */
  private static final class IgnoringListener implements RunListener {
    @Override
    public void ended(LiveRun run, EndedRun end, Countdown stored, BatchContext context) {}

    @Override
    public void strayEnded(EndedRun end, Countdown stored, BatchContext context) {}

    @Override
    public void lost(LiveRun run, String cause, BatchContext context) {}

    @Override
    public void startRejected(LiveRun run, Rejection rejection, BatchContext context) {}

    @Override
    public void lostWithExecutor(LiveRun run, CrashEvidence evidence, BatchContext context) {}

    @Override
    public void observed(ExecutorSign sign, BatchContext context) {}

    @Override
    public void startNotSent(LiveRun run, BatchContext context) {}

    @Override
    public void startGivenUp(LiveRun run, BatchContext context) {}

    @Override
    public void foundRunning(LiveRun run, BatchContext context) {}

    @Override
    public void checkpointSaved(LiveRun run, String checkpoint) {}

    @Override
    public void runStalled(LiveRun run, BatchContext context) {}

    @Override
    public void leaving(ExecutorState executor, BatchContext context) {}

    @Override
    public void fenced(BatchContext context) {}
  }
}
