package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Seen: all VMs lost power and came back while the store was slow, and for 14 s and more none of
 * them decided, so questions about accepted jobs had no answer. A new owner raises the epoch of the
 * jobs' stream first. The store worked on that append for 0.9 s and its answer took as long again;
 * the append was given up after 1 s, again and again. Cause: a time limit that the store cannot
 * meet takes slowness for a lost answer. With the same repeats and a longer limit an owner decided
 * after 3 s.
 */
class SlowReturnTest {

  /** An append takes twice as long: its own time, and that of its answer. */
  private static final long ANSWER_MILLIS = 900;

  private static final long DOWN_MILLIS = 1200;

  /** Longest time after the return of all VMs until each accepted job is answered for. */
  private static final long ANSWERED_MILLIS = 14_000;

  private final BatchCluster cluster = new BatchCluster(3, 20, 1);

  @Test
  void anAcceptedJobIsAnsweredForAfterAllVmsCameBackToASlowStore() {
    cluster.awaitOwner();
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 60_000)));
    cluster.run(2000);
    assertInstanceOf(CallAnswer.Accepted.class, cluster.submissions.get(job));

    cluster.faults.storeDelay = ANSWER_MILLIS;
    cluster.faults.appendMillis = ANSWER_MILLIS;
    List.copyOf(cluster.vms.keySet()).forEach((VmId vm) -> cluster.restart(vm, DOWN_MILLIS));
    cluster.run(DOWN_MILLIS);
    cluster.runUntil("an owner", ANSWERED_MILLIS, () -> cluster.owner().isPresent());
    Optional<CallAnswer> answer = cluster.status(job);

    assertEquals(Optional.of(CallAnswer.Phase.class), answer.<Class<?>>map(CallAnswer::getClass));
  }
}
