package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchOrganisation;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.Submission;
import org.junit.jupiter.api.Test;

/**
 * Guards against calls that are answered about another caller's job: callers choose the ids of
 * their jobs, so that two queues or organisations may choose the same one.
 */
class SharedJobIdTest {

  private static final String ID = "00000000000000cc";
  private static final String FIRST = TestFixtures.keyOf(0);
  private static final String OTHER = TestFixtures.keyOf(1);
  private static final Submission SHORT = Jobs.of(Jobs.tasks(1, 1, 500));
  private static final Submission LONG = Jobs.of(Jobs.tasks(1, 1, 60_000));

  private final BatchCluster cluster = new BatchCluster(3, 8, 1, TestFixtures.configuration(2, 0));

  SharedJobIdTest() {
    cluster.awaitOwner();
    cluster.run(200);
  }

  private static BatchCall submit(String queue, String key, Submission submission) {
    return new BatchCall.Submit(queue, key, ID, submission);
  }

  private static BatchCall status(String queue, String key) {
    return new BatchCall.Status(queue, key, ID);
  }

  private static BatchCall cancel(String queue, String key) {
    return new BatchCall.Cancel(queue, key, ID);
  }

  /** Sends a call and returns its answer. */
  private CallAnswer answer(BatchCall call) {
    long ticket = cluster.call(call).orElseThrow();
    cluster.runUntil("an answer to " + call, 3000, () -> cluster.answers.containsKey(ticket));
    return cluster.answers.get(ticket);
  }

  private void accept(String queue, String key, Submission submission) {
    assertEquals(new CallAnswer.Accepted(), answer(submit(queue, key, submission)));
  }

  private void assertIdInUse(BatchCall submission, Duration least, Duration most) {
    CallAnswer answer = answer(submission);
    assertTrue(
        answer instanceof CallAnswer.Refused(RefusalCause cause, long millis)
            && cause == RefusalCause.ID_IN_USE
            && millis >= least.toMillis()
            && millis <= most.toMillis(),
        () -> "answer " + answer);
  }

  private void assertIdInUse(BatchCall submission) {
    assertIdInUse(submission, Duration.ofSeconds(1), Duration.ofSeconds(120));
  }

  private void assertShown(JobPhase phase, String queue, String key) {
    assertEquals(new CallAnswer.Phase(phase), answer(status(queue, key)));
  }

  private void assertUnknown(String queue, String key) {
    assertEquals(new CallAnswer.NoSuchJob(), answer(status(queue, key)));
  }

  private void awaitEnd(String queue, String key) {
    CallAnswer completed = new CallAnswer.Phase(JobPhase.COMPLETED);
    cluster.runUntil("the end", 4000, () -> answer(status(queue, key)).equals(completed));
  }

  private void changeOwner() {
    cluster.restart(cluster.owner().orElseThrow().id, 500);
    cluster.run(500);
    cluster.awaitOwner();
  }

  private static BatchConfiguration withQueues(Map<String, JobQueue> queues) {
    BatchConfiguration first = TestFixtures.configuration(2, 0);
    return new BatchConfiguration(first.version() + 1, queues, first.organisations());
  }

  private static JobQueue named(String name, JobQueue queue, boolean open) {
    return new JobQueue(
        name,
        queue.pool(),
        queue.priority(),
        queue.maxAttempts(),
        queue.deadlineFactor(),
        queue.targetLatencyMillis(),
        open,
        queue.advised());
  }

  @Test
  void aSubmissionToAnotherQueueIsRefusedAndNeverRuns() {
    accept(BatchCluster.NORMAL, FIRST, SHORT);
    assertIdInUse(submit(BatchCluster.BULK, OTHER, Jobs.of(Jobs.tasks(3, 1, 500))));
    assertIdInUse(submit(BatchCluster.BULK, FIRST, SHORT));
    assertUnknown(BatchCluster.BULK, OTHER);
    awaitEnd(BatchCluster.NORMAL, FIRST);
    assertEquals(1, cluster.work.starts().size());
    assertEquals(
        List.of(ID, BatchCluster.BULK, BatchCluster.NORMAL),
        cluster.notes(BatchLogEvent.JOB_ID_IN_USE).getFirst().arguments());
  }

  @Test
  void aCancelFromAnotherQueueOrOrganisationEndsNothing() {
    accept(BatchCluster.NORMAL, FIRST, LONG);
    cluster.run(1000);
    assertEquals(new CallAnswer.NoSuchJob(), answer(cancel(BatchCluster.BULK, OTHER)));
    assertEquals(new CallAnswer.NoSuchJob(), answer(cancel(BatchCluster.NORMAL, OTHER)));
    cluster.run(1000);
    assertShown(JobPhase.IN_PROGRESS, BatchCluster.NORMAL, FIRST);
    changeOwner();
    assertShown(JobPhase.IN_PROGRESS, BatchCluster.NORMAL, FIRST);
    assertEquals(new CallAnswer.Cancelled(), answer(cancel(BatchCluster.NORMAL, FIRST)));
  }

  @Test
  void anotherOrganisationOfTheSameQueueIsNotShownTheJob() {
    accept(BatchCluster.NORMAL, FIRST, LONG);
    assertUnknown(BatchCluster.NORMAL, OTHER);
    assertIdInUse(submit(BatchCluster.NORMAL, OTHER, LONG));
  }

  /** The record of the job is removed with its end, so its progress has to tell the scope. */
  @Test
  void aJobThatHasEndedIsShownToItsCallerOnlyAlsoByTheNextOwner() {
    accept(BatchCluster.NORMAL, FIRST, SHORT);
    awaitEnd(BatchCluster.NORMAL, FIRST);
    for (int owner = 0; owner < 2; owner++) {
      assertUnknown(BatchCluster.BULK, OTHER);
      assertUnknown(BatchCluster.NORMAL, OTHER);
      assertIdInUse(submit(BatchCluster.BULK, OTHER, SHORT));
      assertShown(JobPhase.COMPLETED, BatchCluster.NORMAL, FIRST);
      accept(BatchCluster.NORMAL, FIRST, SHORT);
      changeOwner();
    }
    assertEquals(1, cluster.work.starts().size());
  }

  @Test
  void aCallerIsToldToComeBackWhenTheIdIsFree() {
    accept(BatchCluster.NORMAL, FIRST, SHORT);
    BatchCall other = submit(BatchCluster.BULK, OTHER, SHORT);
    assertIdInUse(other, Duration.ofSeconds(120), Duration.ofSeconds(120));
    awaitEnd(BatchCluster.NORMAL, FIRST);
    cluster.run(60_000);
    assertIdInUse(other, Duration.ofSeconds(55), Duration.ofSeconds(61));
    cluster.run(61_000);
    Submission later = Jobs.repeated(cluster.wallMillis() + 60_000, 1000, 1, Jobs.tasks(1, 1, 500));
    accept(BatchCluster.BULK, OTHER, later);
    assertShown(JobPhase.QUEUED, BatchCluster.BULK, OTHER);
    assertUnknown(BatchCluster.NORMAL, FIRST);
  }

  @Test
  void aSubmissionWhileTheFirstIsBeingStoredIsRefusedAndIsFreeOnceThatIsNotStored() {
    // An append whose answer is lost stays under way, so that the next job is not sent.
    cluster.faults.dropped =
        (vm, event) ->
            event instanceof BatchEvent.Appended appended && appended.stream() == StreamName.STATE;
    cluster.submit(BatchCluster.NORMAL, FIRST, SHORT);
    cluster.run(100);
    long first = cluster.call(submit(BatchCluster.NORMAL, FIRST, LONG)).orElseThrow();
    BatchCall other = submit(BatchCluster.BULK, OTHER, SHORT);
    assertIdInUse(other, Duration.ofSeconds(1), Duration.ofSeconds(3));
    cluster.runUntil("a refusal", 5000, () -> cluster.answers.containsKey(first));
    assertInstanceOf(CallAnswer.Refused.class, cluster.answers.get(first));
    cluster.faults.dropped = ClusterFaults.NOTHING_DROPPED;
    CallAnswer accepted = new CallAnswer.Accepted();
    cluster.runUntil("an acceptance", 20_000, () -> answer(other).equals(accepted));
    assertUnknown(BatchCluster.NORMAL, FIRST);
    awaitEnd(BatchCluster.BULK, OTHER);
  }

  @Test
  void aSubmissionAfterATakeoverIsRefusedToo() {
    accept(BatchCluster.NORMAL, FIRST, LONG);
    changeOwner();
    assertIdInUse(submit(BatchCluster.BULK, OTHER, SHORT));
    assertShown(JobPhase.IN_PROGRESS, BatchCluster.NORMAL, FIRST);
  }

  /** A DELETE that overtakes its submission cancels it, and no submission of another caller. */
  @Test
  void anEarlyCancelTurnsAwayOnlySubmissionsOfItsOwnCaller() {
    assertEquals(new CallAnswer.NoSuchJob(), answer(cancel(BatchCluster.BULK, OTHER)));
    assertEquals(new CallAnswer.NoSuchJob(), answer(cancel(BatchCluster.NORMAL, OTHER)));
    changeOwner();
    accept(BatchCluster.NORMAL, FIRST, SHORT);
    awaitEnd(BatchCluster.NORMAL, FIRST);
    cluster.run(121_000);
    assertEquals(new CallAnswer.NoSuchJob(), answer(cancel(BatchCluster.BULK, OTHER)));
    changeOwner();
    accept(BatchCluster.BULK, OTHER, SHORT);
    assertShown(JobPhase.CANCELLED, BatchCluster.BULK, OTHER);
    assertUnknown(BatchCluster.NORMAL, FIRST);
  }

  @Test
  void aKeyThatReplacesAnotherOfItsOrganisationFindsTheJob() {
    accept(BatchCluster.NORMAL, FIRST, LONG);
    BatchConfiguration declared = TestFixtures.configuration(2, 0);
    BatchOrganisation first = declared.organisations().getFirst();
    cluster.configure(
        new BatchConfiguration(
            2,
            declared.queues(),
            List.of(
                new BatchOrganisation(first.name(), Set.of("new-key"), 0),
                declared.organisations().get(1))));
    assertShown(JobPhase.IN_PROGRESS, BatchCluster.NORMAL, "new-key");
    accept(BatchCluster.NORMAL, "new-key", LONG);
    assertUnknown(BatchCluster.NORMAL, OTHER);
  }

  /** An open queue takes calls without a key, so that the organisation tells nothing there. */
  @Test
  void aJobOfAnOpenQueueIsFoundWithoutAKey() {
    Map<String, JobQueue> queues = new HashMap<>(TestFixtures.configuration().queues());
    queues.put("open", named("open", queues.get(BatchCluster.NORMAL), true));
    cluster.configure(withQueues(queues));
    accept("open", FIRST, LONG);
    assertShown(JobPhase.IN_PROGRESS, "open", "");
    accept("open", "", LONG);
    assertIdInUse(submit(BatchCluster.NORMAL, FIRST, LONG));
  }

  @Test
  void aJobIsFoundUnderTheNewNameOfItsQueueByItsOrganisationOnly() {
    accept(BatchCluster.NORMAL, FIRST, LONG);
    Map<String, JobQueue> queues = new HashMap<>(TestFixtures.configuration().queues());
    queues.put("renamed", named("renamed", queues.remove(BatchCluster.NORMAL), false));
    cluster.configure(withQueues(queues));
    assertShown(JobPhase.IN_PROGRESS, "renamed", FIRST);
    assertUnknown("renamed", OTHER);
    assertEquals(new CallAnswer.NoSuchJob(), answer(cancel("renamed", OTHER)));
    assertEquals(new CallAnswer.Cancelled(), answer(cancel("renamed", FIRST)));
  }

  @Test
  void aRepeatForAQueueThatWasRemovedIsAccepted() {
    accept(BatchCluster.NORMAL, FIRST, LONG);
    Map<String, JobQueue> queues = new HashMap<>(TestFixtures.configuration().queues());
    queues.remove(BatchCluster.NORMAL);
    cluster.configure(withQueues(queues));
    accept(BatchCluster.NORMAL, FIRST, LONG);
    assertEquals(new CallAnswer.NoSuchQueue(), answer(submit(BatchCluster.NORMAL, OTHER, LONG)));
  }
}
