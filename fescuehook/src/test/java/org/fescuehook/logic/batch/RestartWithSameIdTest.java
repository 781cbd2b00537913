package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a task that is started again after one of its runs ended as done and that end was
 * acknowledged. Its executor had restarted under the same id. The owner kept the sequence numbers
 * of ends that it had read of the previous incarnation, took the first ends of the new one for
 * known, and acknowledged them unread.
 */
class RestartWithSameIdTest {

  private static final ExecutorId ONLY = new ExecutorId("e0");
  private static final Optional<CallAnswer> DONE =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));

  /** Clock of an executor whose process starts counting from 0. */
  private static final long NEW_CLOCK_MILLIS = 0;

  private final BatchCluster cluster = new BatchCluster(2, 1, 1);

  @BeforeEach
  void begin() {
    cluster.crashes.reportStartTimes();
    cluster.awaitOwner();
    cluster.run(300);
  }

  private String complete(long millis) {
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(2, 1, millis)));
    cluster.runUntil("the end of the job", 20_000, () -> cluster.status(job).equals(DONE));
    cluster.run(500);
    return job;
  }

  /**
   * The first ends of the new incarnation have sequence numbers already read of the previous one.
   */
  @ParameterizedTest
  @ValueSource(longs = {20, 600, 2500})
  void noEndIsAcknowledgedUnreadAfterARestart(long awayMillis) {
    complete(300);
    cluster.crashes.restartWithSameId(ONLY, awayMillis, NEW_CLOCK_MILLIS - cluster.nowMillis());
    complete(300);

    assertEquals(4, cluster.work.starts().size());
  }

  /** Nothing runs on the executor, so it has not been polled since the restart. */
  @Test
  void theRestartOfAnIdleUnlistedExecutorIsDetectedByItsAnswers() {
    cluster.crashes.setListedAfterMillis(60_000);
    complete(300);
    cluster.crashes.restartWithSameId(ONLY, 20, NEW_CLOCK_MILLIS - cluster.nowMillis());
    cluster.run(200);
    complete(300);

    assertEquals(4, cluster.work.starts().size());
  }

  /**
   * Guards against starts that use the previous clock and are always late on a clock ahead of it.
   */
  @Test
  void anExecutorWhoseClockIsFarAheadAfterItsRestartIsUsed() {
    cluster.crashes.setListedAfterMillis(1000);
    complete(300);
    cluster.crashes.restartWithSameId(ONLY, 20, 500_000_000);
    cluster.run(200);
    complete(300);

    assertEquals(4, cluster.work.starts().size());
  }

  /**
   * The late orders were meant for the previous incarnation, whose epoch, the fencing token, is
   * lost with it.
   */
  @Test
  void aStartForThePreviousIncarnationIsRejectedOnceTheNewOneHasBeenPolled() {
    cluster.addExecutor("e1", "r0");
    complete(300);
    cluster.faults.lateOrderRate = 1;
    cluster.faults.lateOrderMillis = OptionalLong.of(3000);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(16, 1, 1000)));
    cluster.run(100);
    cluster.faults.lateOrderRate = 0;
    cluster.run(700);
    cluster.crashes.restartWithSameId(ONLY, 20, NEW_CLOCK_MILLIS - cluster.nowMillis());
    cluster.run(6000);

    assertEquals(cluster.work.starts().size(), cluster.work.starts().stream().distinct().count());
  }

  /**
   * Guards against a poll of the new incarnation that is sent to the address of the previous one,
   * where another executor may answer by now.
   */
  @Test
  void anExecutorThatRestartsAtAnotherAddressIsPolledThere() {
    complete(300);
    cluster.crashes.setNextPort(1);
    cluster.crashes.restartWithSameId(ONLY, 600, NEW_CLOCK_MILLIS - cluster.nowMillis());
    cluster.run(2000);
    complete(300);

    assertEquals(0, cluster.orders.toFormerAddress());
  }

  /** Runs are lost with the previous incarnation, which their task may have crashed. */
  @Test
  void runsOfThePreviousIncarnationAreLostWithIt() {
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 4000)));
    cluster.runUntil("the start", 2000, () -> cluster.work.starts().size() == 1);
    cluster.run(300);
    cluster.crashes.restartWithSameId(ONLY, 300, NEW_CLOCK_MILLIS - cluster.nowMillis());
    cluster.runUntil("the next start", 5000, () -> cluster.work.starts().size() == 2);

    assertEquals(1, cluster.notes(BatchLogEvent.RUN_LOST_WITH_EXECUTOR).size());
  }

  /**
   * The owner did not know of the restart when it sent the start, so the run belongs to the new
   * incarnation.
   */
  @Test
  void aRunThatTheNewIncarnationHasStartedContinues() {
    cluster.crashes.setListedAfterMillis(1000);
    complete(300);
    cluster.crashes.restartWithSameId(ONLY, 20, NEW_CLOCK_MILLIS - cluster.nowMillis());
    cluster.run(100);
    complete(2500);

    assertEquals(4, cluster.work.starts().size());
  }

  /** The next owner learns from the store on which incarnation a run was placed. */
  @ParameterizedTest
  @ValueSource(longs = {20, 600, 2500})
  void theNextOwnerDistinguishesARunOfThePreviousIncarnationFromOneThatIsNotListed(
      long awayMillis) {
    complete(300);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 8000)));
    cluster.runUntil("the start", 2000, () -> cluster.work.starts().size() == 3);
    cluster.run(300);
    cluster.restart(cluster.owner().orElseThrow().id, 60_000);
    cluster.crashes.restartWithSameId(ONLY, awayMillis, NEW_CLOCK_MILLIS - cluster.nowMillis());
    cluster.runUntil("the next start", 20_000, () -> cluster.work.starts().size() == 4);

    List<BatchCommand.Note> lost = cluster.notes(BatchLogEvent.RUN_LOST_WITH_EXECUTOR);
    assertEquals(1, lost.size());
  }

  /** The clock of the day was set back before the restart, so the start time is an earlier one. */
  @ParameterizedTest
  @ValueSource(longs = {20, 600, 2500})
  void anExecutorThatReportsAnEarlierStartAfterItsRestartIsUsed(long awayMillis) {
    complete(300);
    cluster.crashes.setClockBackMillis(60_000);
    cluster.crashes.restartWithSameId(ONLY, awayMillis, NEW_CLOCK_MILLIS - cluster.nowMillis());
    for (int heartbeat = 1; heartbeat <= 8; heartbeat++) {
      cluster.in(awayMillis + 1500L * heartbeat, () -> cluster.list(ONLY));
    }
    cluster.run(awayMillis + 100);
    complete(300);
    String next = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(2, 1, 300)));
    cluster.runUntil("the end of the next job", 5000, () -> cluster.status(next).equals(DONE));

    assertEquals(6, cluster.work.starts().size());
  }

  /** Pages of the list are no snapshot, so an entry of an earlier incarnation may come late. */
  @Test
  void anOutdatedEntryDoesNotReplaceAnIncarnationThatAnswers() {
    ExecutorProfile outdated = cluster.executors.get(ONLY).profile();
    cluster.crashes.restartWithSameId(ONLY, 20, NEW_CLOCK_MILLIS - cluster.nowMillis());
    cluster.run(1000);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(2, 1, 3000)));
    cluster.run(500);
    int restarts = cluster.notes(BatchLogEvent.EXECUTOR_RESTARTED).size();
    cluster.owner().orElseThrow().deliver(new BatchEvent.ExecutorSeen(outdated));
    cluster.run(4000);

    assertEquals(restarts, cluster.notes(BatchLogEvent.EXECUTOR_RESTARTED).size());
    assertEquals(2, cluster.work.starts().size());
    complete(300);
  }
}
