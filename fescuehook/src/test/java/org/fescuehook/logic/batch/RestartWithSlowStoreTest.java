package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a store that is too slow for any VM to take over after all VMs lost power: none of
 * them decided for 14 s and more, so calls about accepted jobs got no answer. A new owner first
 * raises the epoch of the stream of jobs. The store processed that append for 0.9 s and its answer
 * took as long again, so an append with a time limit of 1 s was given up again and again. A time
 * limit that the store cannot meet takes slowness for a lost answer; with a longer one an owner
 * decided after 3 s.
 */
class RestartWithSlowStoreTest {

  /**
   * Delay of an answer of the store; an append takes twice as long, for itself and for its answer.
   */
  private static final long ANSWER_MILLIS = 900;

  private static final long DOWN_MILLIS = 1200;

  /** Longest time from the restart of all VMs until each accepted job is answered for. */
  private static final long ANSWERED_MILLIS = 14_000;

  private final BatchCluster cluster = new BatchCluster(3, 20, 1);

  @Test
  void anAcceptedJobIsReportedAfterAllVmsRestartWithASlowStore() {
    cluster.awaitOwner();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 60_000)));
    cluster.run(2000);
    assertInstanceOf(CallAnswer.Accepted.class, cluster.submissions.get(job));

    cluster.faults.storeDelayMillis = ANSWER_MILLIS;
    cluster.faults.appendMillis = ANSWER_MILLIS;
    List.copyOf(cluster.vms.keySet()).forEach((VmId vm) -> cluster.restart(vm, DOWN_MILLIS));
    cluster.run(DOWN_MILLIS);
    cluster.runUntil("an owner", ANSWERED_MILLIS, () -> cluster.owner().isPresent());
    Optional<CallAnswer> answer = cluster.status(job);

    assertEquals(Optional.of(CallAnswer.Phase.class), answer.<Class<?>>map(CallAnswer::getClass));
  }
}
