package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * A backlog that cannot be served in time is refused at once, with room coming back. Guards against
 * jobs that are accepted and certainly end too late to be of use to their callers.
 */
class BacklogAdmissionTest {

  /** Occupies the whole fleet of 128 slots for 4 s. */
  private static final Submission LARGER = Jobs.of(Jobs.tasks(256, 0, 2000));

  /** Leaves 28 slots free, which the next one cannot use. */
  private static final Submission GANG = Jobs.of(Jobs.gang(100, 0, 2000));

  private static final Submission SMALL = Jobs.of(Jobs.tasks(8, 0, 2000));

  private static final String FIRST = TestFixtures.keyOf(0);
  private static final String SECOND = TestFixtures.keyOf(1);

  /** Time after a takeover during which the rate is not known. */
  private static final long LEARNING_MILLIS = 6000;

  private final BatchCluster cluster =
      new BatchCluster(2, 8, 1, TestFixtures.configuration(2, 0), TestFixtures.BACKLOG_ADMISSION);
  private final RetryingCallers callers = new RetryingCallers(cluster, true);

  private RetryingCallers.Caller submit(String key, Submission submission) {
    RetryingCallers.Caller caller = callers.submit(BatchCluster.NORMAL, key, submission);
    cluster.run(20);
    return caller;
  }

  private void start() {
    cluster.awaitOwner();
    cluster.run(LEARNING_MILLIS);
  }

  /** Submits until one is refused, and returns its caller. */
  private RetryingCallers.Caller submitUntilRefused(Submission submission) {
    for (int i = 0; i < 100; i++) {
      RetryingCallers.Caller caller = submit(FIRST, submission);
      if (!caller.refusals.isEmpty()) {
        return caller;
      }
    }
    throw new AssertionError("100 jobs accepted");
  }

  private static void assertRefusedForLoad(RetryingCallers.Caller caller) {
    CallAnswer.Refused refused = caller.refusals.getFirst();
    assertEquals(RefusalCause.BACKLOG, refused.cause());
    assertTrue(refused.retryAfterMillis() >= 1000, refused::toString);
    assertTrue(refused.retryAfterMillis() <= 38_000, refused::toString);
  }

  @Test
  void whatWouldStartTooLateIsRefusedAtOnceAndLeavesNoTrace() {
    start();
    RetryingCallers.Caller caller = submitUntilRefused(LARGER);
    assertRefusedForLoad(caller);
    assertTrue(callers.accepted() > 5, "accepted: " + callers.accepted());
    assertEquals(
        Optional.empty(),
        cluster.store.newest(StreamName.STATE).stream()
            .filter(record -> record.key().contains(caller.call.job()))
            .findFirst());
  }

  @Test
  void aRefusedCallerFindsRoomWhenItReturns() {
    start();
    RetryingCallers.Caller caller = submitUntilRefused(LARGER);
    long promised = caller.refusals.getFirst().retryAfterMillis();
    cluster.run(promised + 2000);
    assertTrue(caller.accepted(), () -> "refused " + caller.refusals);
  }

  /**
   * The accepted work that waits stays below what the fleet does in the time in which it is useful,
   * with the quarter by which the fleet may be faster than measured.
   */
  @Test
  void noMoreIsAcceptedThanCanBeOfUse() {
    start();
    long begin = cluster.nowMillis();
    for (int i = 0; i < 60; i++) {
      submit(i % 2 == 0 ? FIRST : SECOND, LARGER);
      cluster.run(100);
    }
    double usefulSeconds = 3 * (3 * 2 + 1);
    double elapsedSeconds = (cluster.nowMillis() - begin) / 1000.0;
    double jobSeconds = 4;
    double running = 2;
    double most = 1.25 * usefulSeconds + elapsedSeconds + jobSeconds + running;
    double accepted = callers.accepted() * jobSeconds;
    assertTrue(accepted <= most, () -> accepted + " pool-s accepted, at most " + most);
    assertTrue(accepted >= usefulSeconds, () -> accepted + " pool-s accepted");
  }

  @Test
  void theCallerRefusedForTheLongestTimeIsAdmittedFirst() {
    start();
    RetryingCallers.Caller first = submitUntilRefused(LARGER);
    long firstReturn = first.refusals.getFirst().retryAfterMillis();
    cluster.run(firstReturn - 200);
    // Takes the room that the first caller was told to come back for, if it is not kept for it.
    RetryingCallers.Caller second = submit(SECOND, LARGER);
    cluster.run(1000);
    assertTrue(first.accepted(), () -> "first refused " + first.refusals);
    assertFalse(second.refusals.isEmpty(), "the newer caller overtakes");
  }

  @Test
  void aJobForWhichCapacityIsFreeIsAcceptedWhateverWaits() {
    start();
    submitUntilRefused(GANG);
    RetryingCallers.Caller caller = submit(SECOND, SMALL);
    cluster.run(50);
    assertTrue(caller.accepted(), () -> "refused " + caller.refusals);
  }

  @Test
  void anOwnerThatHasJustTakenOverRefusesNothingForLoad() {
    start();
    RetryingCallers.Caller refused = submitUntilRefused(LARGER);
    VmId former = cluster.owner().orElseThrow().id;
    cluster.vms.get(former).running = false;
    cluster.runUntil("another owner", 10_000, () -> cluster.owner().isPresent());
    RetryingCallers.Caller other = submit(SECOND, LARGER);
    cluster.run(200);
    assertTrue(other.accepted(), () -> "refused " + other.refusals);
    cluster.run(40_000);
    assertTrue(refused.accepted(), () -> "refused " + refused.refusals);
  }

  /** Urgent work of an organisation with a guarantee is served by reclaiming, whatever waits. */
  @Test
  void aCallerWithAGuaranteeIsNotRefusedForLoad() {
    BatchCluster guaranteed =
        new BatchCluster(2, 8, 1, TestFixtures.configuration(2, 8), TestFixtures.BACKLOG_ADMISSION);
    assertEquals(0, urgentRefusals(guaranteed));
    assertTrue(urgentRefusals(cluster) > 0);
  }

  private static long urgentRefusals(BatchCluster target) {
    RetryingCallers urgent = new RetryingCallers(target, true);
    target.awaitOwner();
    target.run(LEARNING_MILLIS);
    for (int i = 0; i < 30; i++) {
      urgent.submit(BatchCluster.URGENT, FIRST, LARGER);
      target.run(20);
    }
    return urgent.callers().stream().filter(caller -> !caller.refusals.isEmpty()).count();
  }
}
