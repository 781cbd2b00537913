package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against live owners that replace each other, and against an owner that refuses every
 * submission as if the store were unavailable, after all VMs restart while each answer of the store
 * takes 0.3 to 2 s, and an append twice that. The limits for the silence of an owner, for the age
 * of the store's last answer and for an append in progress must not be fixed below what such a
 * store needs.
 */
class SlowTakeoverTest {

  private static final long DOWN_MILLIS = 1200;
  private static final long STEADY_MILLIS = 30_000;
  private static final long BETWEEN_JOBS_MILLIS = 100;

  /** Least silence of the owner before another VM claims. */
  private static final long SILENCE_MILLIS = 2000;

  /** How long a read of ownership waits for a record, with its pause. */
  private static final long READ_MILLIS = 1400;

  /** How long callers wait for an answer. */
  private static final long CALLER_MILLIS = 2800;

  /** Least share of submissions with the expected answer. */
  private static final double MIN_SERVED_SHARE = 0.98;

  private final BatchCluster cluster = new BatchCluster(8, 20, 1);
  private final Set<String> reported = new HashSet<>();

  private void restartWithSlowStore(long answerMillis) {
    cluster.awaitOwner();
    cluster.run(2000);
    cluster.faults.storeDelayMillis = answerMillis;
    cluster.faults.appendMillis = answerMillis;
    List.copyOf(cluster.vms.keySet()).forEach((VmId vm) -> cluster.restart(vm, DOWN_MILLIS));
    cluster.run(DOWN_MILLIS);
  }

  /**
   * Returns how long a takeover may take: a first read; the silence, in which a heartbeat that
   * waits for another append has to become known; the claim, which may wait 2 s behind the claims
   * of other VMs; the epoch of the stream of jobs; and a page of jobs.
   */
  private static long takeoverMillis(long answer) {
    long append = 2 * answer;
    long silence = Math.max(SILENCE_MILLIS, append + append + answer + READ_MILLIS);
    return answer + silence + SILENCE_MILLIS + append + append + answer;
  }

  /** Tells all VMs, as callers do, that the owner cannot reach the store. */
  private void reportRefusals() {
    for (Map.Entry<String, CallAnswer> answer : cluster.submissions.entrySet()) {
      boolean storeUnavailable =
          answer.getValue() instanceof CallAnswer.Refused refused
              && refused.cause() == RefusalCause.STORE_AWAY;
      if (storeUnavailable && reported.add(answer.getKey())) {
        cluster.vms.values().forEach(vm -> vm.deliver(new BatchEvent.OwnerDoubted()));
      }
    }
  }

  private void submitContinuously() {
    for (long at = 0; at < STEADY_MILLIS; at += BETWEEN_JOBS_MILLIS) {
      cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 400)));
      cluster.run(BETWEEN_JOBS_MILLIS);
      reportRefusals();
    }
  }

  private long answered(Class<? extends CallAnswer> kind) {
    return cluster.submissions.values().stream().filter(kind::isInstance).count();
  }

  @ParameterizedTest
  @ValueSource(longs = {4, 100, 300, 500, 900, 2000})
  void oneOwnerDecidesAndIsNotReplacedWhileItIsAlive(long answerMillis) {
    restartWithSlowStore(answerMillis);
    long limit = takeoverMillis(answerMillis);
    cluster.runUntil("an owner", limit, () -> cluster.owner().isPresent());
    int owners = cluster.ownershipsWon();
    submitContinuously();
    assertEquals(owners, cluster.ownershipsWon(), "a live owner was replaced");
  }

  /**
   * The previous owner does not come back. Another VM has to take over, and must not be replaced.
   */
  @ParameterizedTest
  @ValueSource(longs = {4, 100, 300, 500, 900, 2000})
  void anotherVmTakesOverIfThePreviousOwnerStaysDown(long answerMillis) {
    cluster.awaitOwner();
    VmId former = cluster.owner().orElseThrow().id;
    restartWithSlowStore(answerMillis);
    cluster.vms.get(former).running = false;
    cluster.run(1);
    long limit = takeoverMillis(answerMillis);
    cluster.runUntil("an owner", limit, () -> cluster.owner().isPresent());
    int owners = cluster.ownershipsWon();
    cluster.run(STEADY_MILLIS);
    assertEquals(owners, cluster.ownershipsWon(), "a live owner was replaced");
  }

  /**
   * With 0.9 s per answer an append takes 1.8 s, and an append that waits for another is still in
   * time.
   */
  @ParameterizedTest
  @ValueSource(longs = {4, 100, 300, 500, 900})
  void whatCanBeStoredWhileCallersWaitIsAccepted(long answerMillis) {
    restartWithSlowStore(answerMillis);
    long limit = takeoverMillis(answerMillis);
    cluster.runUntil("an owner", limit, () -> cluster.owner().isPresent());
    submitContinuously();
    cluster.run(CALLER_MILLIS);
    long asked = STEADY_MILLIS / BETWEEN_JOBS_MILLIS;
    long accepted = answered(CallAnswer.Accepted.class);
    assertTrue(accepted >= MIN_SERVED_SHARE * asked, () -> accepted + " of " + asked + " accepted");
  }

  /** With 2 s per answer an append takes 4 s, and no caller waits that long. */
  @ParameterizedTest
  @ValueSource(longs = 2000)
  void whatCannotBeStoredWhileCallersWaitIsRefusedAtOnce(long answerMillis) {
    restartWithSlowStore(answerMillis);
    long limit = takeoverMillis(answerMillis);
    cluster.runUntil("an owner", limit, () -> cluster.owner().isPresent());
    submitContinuously();
    long asked = STEADY_MILLIS / BETWEEN_JOBS_MILLIS;
    long refused = answered(CallAnswer.Refused.class);
    assertTrue(
        refused >= MIN_SERVED_SHARE * asked, () -> refused + " of " + asked + " refused at once");
  }
}
