package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Runs of a job that has ended, or was cancelled, must be gone in time although their owner is
 * replaced: within the time that the users allow for a cancel and a stop, counted from the
 * acknowledgement of the cancel, or from the end of the last fault if that is later.
 */
class OrphanedRunTest {

  private static final long GONE_WITHIN_MILLIS = 3200;

  /** Time after an acknowledged cancel from which on nothing may start. */
  private static final long CANCEL_MILLIS = 3000;

  /** Additional lifetime of a run that its executor started late, counted from its start. */
  private static final long LATE_START_MILLIS = 3000;

  private static final String LATE_JOB = "00000000000000aa";
  private static final String SIDE = "side";

  /** How long runs survived that outlived the bound, by case. */
  private final Map<String, Long> tooLong = new LinkedHashMap<>();

  private void measure(String name, OrphanedRunFixture history, String job) {
    measure(name, GONE_WITHIN_MILLIS, history, job);
  }

  private void measure(String name, long bound, OrphanedRunFixture history, String job) {
    long millis = history.millisUntilGone(job);
    if (millis > bound) {
      tooLong.put(name, millis);
    }
  }

  private void assertAllGoneInTime() {
    Map<String, Long> found = Map.copyOf(tooLong);
    tooLong.clear();
    assertEquals(Map.of(), found, "runs that survived too long, in ms");
  }

  private static String submitLong(OrphanedRunFixture history) {
    return history.submit(BatchCluster.NORMAL, Jobs.tasks(1, 8, OrphanedRunFixture.LONG_MILLIS));
  }

  // Guards against: a stop that only the lost owner had to send, and a next owner that looks late.
  @Test
  void aRunIsGoneInTimeThoughItsOwnerDiesAndTheStoreIsSlow() {
    for (long storeMillis : new long[] {300, 600, 900}) {
      for (long slowBefore : new long[] {0, 3000}) {
        OrphanedRunFixture history = new OrphanedRunFixture();
        String job = submitLong(history);
        history.cluster.faults.storeDelayMillis = storeMillis;
        history.cluster.run(slowBefore);
        history.cancelAndKillOwner(job);
        measure("store " + storeMillis + " since " + slowBefore, history, job);
      }
    }
    assertAllGoneInTime();
  }

  // Guards against: a cancel acknowledged after a time in which other work kept the lease alive.
  @Test
  void aRunBesideOtherWorkIsGoneInTimeThoughItsOwnerDiesAndTheStoreIsSlow() {
    for (long storeMillis : new long[] {300, 600, 900}) {
      OrphanedRunFixture history = new OrphanedRunFixture();
      String job =
          history.submit(BatchCluster.NORMAL, Jobs.tasks(1, 4, OrphanedRunFixture.LONG_MILLIS));
      history.submit(BatchCluster.NORMAL, Jobs.tasks(7, 4, OrphanedRunFixture.LONG_MILLIS));
      history.cluster.run(300);
      history.cluster.faults.storeDelayMillis = storeMillis;
      history.cluster.run(3000);
      history.cluster.faults.lostStops = true;
      history.cluster.call(new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, job));
      history.cluster.run(2600);
      history.killOwner();
      history.cluster.faults.lostStops = false;
      history.cancel(job);
      measure("store " + storeMillis, history, job);
    }
    assertAllGoneInTime();
  }

  // Guards against: a stop that is passed on to the next owner, but not to the one after it.
  @Test
  void aRunIsGoneInTimeThoughSeveralOwnersDieOneAfterTheOther() {
    for (long storeMillis : new long[] {4, 100, 300}) {
      for (int owners = 2; owners <= 3; owners++) {
        OrphanedRunFixture history = new OrphanedRunFixture();
        String job = submitLong(history);
        history.cluster.faults.storeDelayMillis = storeMillis;
        history.cancelAndKillOwner(job);
        history.killNextOwners(owners - 1);
        measure(owners + " owners, store " + storeMillis, history, job);
      }
    }
    assertAllGoneInTime();
  }

  // Guards against: a next owner that ignores a pool since no queue names it any more.
  @Test
  void aRunInAPoolWhoseLastQueueIsRemovedIsGoneInTimeThoughItsOwnerDies() {
    BatchConfiguration without = TestFixtures.configuration();
    Map<String, JobQueue> queues = new HashMap<>(without.queues());
    queues.put(SIDE, new JobQueue(SIDE, SIDE, 1, 3, 3, 1000, false, false));
    OrphanedRunFixture history =
        new OrphanedRunFixture(5, new BatchConfiguration(1, queues, without.organisations()));
    history.cluster.addExecutor(TestFixtures.ofPool("side-0", "r1", SIDE));
    history.cluster.run(500);
    String job = history.submit(SIDE, Jobs.tasks(1, 8, OrphanedRunFixture.LONG_MILLIS));
    history.cluster.configure(new BatchConfiguration(2, without.queues(), without.organisations()));
    history.cluster.run(500);
    history.cancelAndKillOwner(job);
    measure("pool of no queue", history, job);
    assertAllGoneInTime();
  }

  // Guards against: a cancel that is acknowledged and forgotten before its submission arrives.
  @Test
  void aSubmissionThatComesAfterItsCancelDoesNotRun() {
    OrphanedRunFixture history = new OrphanedRunFixture();
    cancelUnknown(history);
    assertSubmissionDoesNotRun(history);
  }

  // Guards against: a cancel that only the owner that acknowledged it remembers.
  @Test
  void aSubmissionThatComesAfterItsCancelDoesNotRunAtTheNextOwner() {
    OrphanedRunFixture history = new OrphanedRunFixture();
    cancelUnknown(history);
    history.killOwner();
    history.cluster.awaitOwner();
    assertSubmissionDoesNotRun(history);
  }

  // Guards against: "no such job" for a job that is on its way to the store.
  @Test
  void aSubmissionThatComesBeforeTheAnswerToItsCancelDoesNotRun() {
    for (long between = 0; between <= 400; between += 20) {
      OrphanedRunFixture history = new OrphanedRunFixture();
      BatchCall cancel = new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, LATE_JOB);
      long ticket = history.cluster.call(cancel).orElseThrow();
      history.cluster.run(between);
      history.answer(submission());
      history.cluster.runUntil("an answer", 5000, () -> history.answered(ticket));
      measure(between + " ms after the cancel was sent", history, LATE_JOB);
    }
    assertAllGoneInTime();
  }

  private static BatchCall submission() {
    return new BatchCall.Submit(
        BatchCluster.NORMAL,
        BatchCluster.KEY,
        LATE_JOB,
        Jobs.of(Jobs.tasks(1, 8, OrphanedRunFixture.LONG_MILLIS)));
  }

  private static void cancelUnknown(OrphanedRunFixture history) {
    BatchCall cancel = new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, LATE_JOB);
    assertEquals(new CallAnswer.NoSuchJob(), history.answer(cancel));
  }

  private static void assertSubmissionDoesNotRun(OrphanedRunFixture history) {
    BatchCall status = new BatchCall.Status(BatchCluster.NORMAL, BatchCluster.KEY, LATE_JOB);
    assertEquals(
        new CallAnswer.NoSuchJob(), history.answer(status), "the job was not submitted yet");
    CallAnswer answer = history.answer(submission());
    long until = history.cluster.nowMillis() + GONE_WITHIN_MILLIS;
    while (history.cluster.nowMillis() < until) {
      if (answer instanceof CallAnswer.Accepted) {
        assertInstanceOf(CallAnswer.Phase.class, history.answer(status), "the job was accepted");
      }
      history.cluster.run(200);
    }
    assertFalse(history.runs(LATE_JOB), "the job runs although its cancel was acknowledged before");
  }

  // Guards against: the answer to the earlier start counting as the answer to the stop.
  @Test
  void aRunWhoseStopIsLostIsGoneInTimeThoughItsStartIsAnsweredAfterTheCancel() {
    OrphanedRunFixture history = new OrphanedRunFixture();
    BatchCluster cluster = history.cluster;
    String job =
        cluster.submit(
            BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 8, OrphanedRunFixture.LONG_MILLIS)));
    List<Long> cancels = new ArrayList<>();
    cluster.faults.dropped =
        (vm, event) -> {
          if (cancels.isEmpty() && answersStart(event)) {
            cluster.faults.lostStops = true;
            BatchCall cancel = new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, job);
            cluster.call(cancel).ifPresent(cancels::add);
          }
          return false;
        };
    cluster.run(500);
    assertFalse(history.answered(cancels.getFirst()), "no stop was answered");
    cluster.faults.lostStops = false;
    cluster.run(200);
    measure("start answered after the cancel", history, job);
    assertAllGoneInTime();
  }

  private static boolean answersStart(BatchEvent event) {
    return event instanceof BatchEvent.OrderEnded ended
        && ended.outcome() instanceof OrderOutcome.Done;
  }

  // Guards against: a stop that counts as carried out because it was acknowledged.
  @Test
  void aStopThatIsConfirmedAndNotCarriedOutIsSentAgain() {
    for (int ignored = 1; ignored <= 3; ignored++) {
      OrphanedRunFixture history = new OrphanedRunFixture();
      String job = submitLong(history);
      history.cluster.executors.get(history.executorOf(job)).ignoreStops(ignored);
      history.cancel(job);
      measure(ignored + " ignored", history, job);
    }
    assertAllGoneInTime();
  }

  // Guards against: a next owner that takes over the stops of cancelled jobs, not of failed ones.
  @Test
  void theOtherRunsOfAFailedJobAreGoneInTimeThoughTheirOwnerDies() {
    OrphanedRunFixture history = new OrphanedRunFixture();
    String job =
        history.submit(BatchCluster.NORMAL, Jobs.tasks(2, 4, OrphanedRunFixture.LONG_MILLIS));
    history.cluster.run(200);
    TaskName task = new TaskName(job, 0, 0, 0);
    history.cluster.work.failAlways(task);
    history.cluster.work.setWorkMillis(task, 300);
    history.cluster.faults.lostStops = true;
    history.awaitEnd(job);
    history.killOwner();
    history.cluster.faults.lostStops = false;
    measure("failed", history, job);
    assertAllGoneInTime();
    assertEquals(new CallAnswer.Phase(JobPhase.FAILED), history.cluster.status(job).orElseThrow());
  }

  // Guards against: a second run that goes on although the first turned out to be done.
  @Test
  void theSecondRunOfATaskThatWasDoneIsGoneInTimeThoughItsOwnerDies() {
    OrphanedRunFixture history = new OrphanedRunFixture();
    String job = history.submit(BatchCluster.NORMAL, Jobs.tasks(1, 8, 1000));
    ExecutorId first = history.executorOf(job);
    history.cluster.faults.silent.add(first);
    history.cluster.runUntil("the end", 2000, () -> !history.runs(job));
    history.cluster.work.setWorkMillis(new TaskName(job, 0, 0, 0), OrphanedRunFixture.LONG_MILLIS);
    history.cluster.runUntil("the second run", 12_000, () -> history.runs(job));
    history.cluster.faults.lostStops = true;
    history.cluster.faults.silent.clear();
    history.awaitEnd(job);
    history.killOwner();
    history.cluster.faults.lostStops = false;
    measure("stray end", history, job);
    assertAllGoneInTime();
    assertEquals(
        new CallAnswer.Phase(JobPhase.COMPLETED), history.cluster.status(job).orElseThrow());
  }

  // Guards against: an owner whose planned stop drops the stops that it still has to send.
  @Test
  void aRunIsGoneInTimeThoughItsOwnerStopsAsPlannedBeforeItRepeatsTheStop() {
    OrphanedRunFixture history = new OrphanedRunFixture();
    String job = submitLong(history);
    history.cluster.faults.lostStops = true;
    history.cancel(job);
    history.cluster.owner().orElseThrow().deliver(new BatchEvent.StopBegun());
    history.cluster.faults.lostStops = false;
    measure("planned stop", history, job);
    assertAllGoneInTime();
  }

  // Guards against: a next owner that asks only executors that are listed when it takes over.
  @Test
  void aRunOnAnExecutorThatIsListedAgainAfterTheTakeoverIsGoneInTime() {
    OrphanedRunFixture history = new OrphanedRunFixture();
    String job = submitLong(history);
    ExecutorId executor = history.executorOf(job);
    history.cluster.faults.unlisted.add(executor);
    history.cluster.unlist(executor);
    history.cancelAndKillOwner(job);
    history.cluster.awaitOwner();
    history.cluster.run(2000);
    history.cluster.faults.unlisted.clear();
    history.cluster.list(executor);
    measure("listed again", history, job);
    assertAllGoneInTime();
  }

  // Guards against: a start that an executor carries out after the next owner has polled it.
  @Test
  void aLateStartAcrossACancelAndATakeoverIsGoneInTime() {
    for (long storeMillis : new long[] {4, 300, 600}) {
      for (long late = 2000; late <= 5000; late += 250) {
        OrphanedRunFixture history = new OrphanedRunFixture();
        history.cluster.faults.lateOrderRate = 1;
        history.cluster.faults.lateOrderMillis = OptionalLong.of(late);
        String job =
            history.cluster.submit(
                BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 8, OrphanedRunFixture.LONG_MILLIS)));
        history.cluster.run(100);
        history.cluster.faults.lateOrderRate = 0;
        history.cluster.faults.storeDelayMillis = storeMillis;
        history.cancelAndKillOwner(job);
        long until = history.cluster.nowMillis() + 6000;
        while (!history.runs(job) && history.cluster.nowMillis() < until) {
          history.cluster.run(20);
        }
        String name = late + " late, store " + storeMillis + ", " + history.runs(job);
        measure(name, LATE_START_MILLIS + GONE_WITHIN_MILLIS, history, job);
      }
    }
    assertAllGoneInTime();
  }

  // Guards against: a cancel acknowledged while a start may arrive much later and go on.
  @Test
  void aStartThatIsCarriedOutAfterTheCancelComesSoonAndEndsWithItsLease() {
    OrphanedRunFixture history = new OrphanedRunFixture();
    BatchCluster cluster = history.cluster;
    cluster.faults.lateOrderRate = 1;
    cluster.faults.lateOrderMillis = OptionalLong.of(5500);
    String job =
        cluster.submit(
            BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 8, OrphanedRunFixture.LONG_MILLIS)));
    cluster.run(1800);
    history.cancelAndKillOwner(job);
    long cancelledAt = cluster.nowMillis();
    cluster.faults.lateOrderRate = 0;
    cluster.faults.storeDown = true;
    cluster.in(3000, () -> cluster.faults.storeDown = false);
    cluster.runUntil("the late start", 6000, () -> history.runs(job));
    assertTrue(cluster.nowMillis() - cancelledAt <= CANCEL_MILLIS, "the start came too late");
    measure("late start", history, job);
    assertAllGoneInTime();
  }
}
