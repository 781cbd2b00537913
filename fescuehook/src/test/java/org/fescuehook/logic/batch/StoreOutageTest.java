package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Optional;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.model.batch.JobPhase;
import org.junit.jupiter.api.Test;

/** Answers to callers while the store is unavailable. */
class StoreOutageTest {

  private static final Optional<CallAnswer> COMPLETED =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));

  private final BatchCluster cluster = new BatchCluster(3, 8, 1);

  private long refusedRetryMillis() {
    BatchCall call =
        new BatchCall.Submit(
            BatchCluster.NORMAL,
            BatchCluster.KEY,
            "%016x".formatted(cluster.nowMillis()),
            Jobs.of(Jobs.tasks(1, 1, 500)));
    long ticket = cluster.call(call).orElseThrow();
    cluster.run(20);
    return assertInstanceOf(CallAnswer.Refused.class, cluster.answers.get(ticket))
        .retryAfterMillis();
  }

  /** The stream of jobs is unavailable while ownership is confirmed as usual. */
  @Test
  void callersRetryLaterAlsoIfOnlyTheJobsCannotBeStored() {
    cluster.awaitOwner();
    cluster.run(500);
    cluster.faults.streamsDown.add(StreamName.STATE);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.run(2500);

    assertEquals(2300, refusedRetryMillis(), 300);
    cluster.run(2000);
    assertEquals(3000, refusedRetryMillis());
  }

  /** An outage of some seconds would outlast all attempts of callers that retry at once. */
  @Test
  void callersRetryLaterTheLongerTheOutageHasLasted() {
    cluster.awaitOwner();
    cluster.run(500);
    cluster.faults.storeDown = true;
    cluster.run(1500);
    long first = refusedRetryMillis();
    cluster.run(800);
    long second = refusedRetryMillis();
    cluster.run(4000);

    assertEquals(1500, first, 600);
    assertEquals(first + 820, second, 100);
    assertEquals(3000, refusedRetryMillis());
  }

  /**
   * Guards against an owner that refuses submissions although the store is back. After an outage of
   * 4 s the store accepted appends of jobs at once, but the owner refused all submissions for half
   * a second more and told callers to retry after 3 s; some had no time left for that.
   *
   * <p>A heartbeat had been sent just before the end of the outage, so the next one was due only
   * after its time limit. Jobs stored at the owner's epoch also show that the store is reachable
   * and that no other VM has become the owner.
   */
  @Test
  void storedJobsShowThatTheStoreIsBackBeforeAHeartbeatDoes() {
    cluster.awaitOwner();
    String running = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 1500)));
    cluster.run(500);
    cluster.faults.storeDown = true;
    cluster.run(4000);
    assertNotEquals(COMPLETED, cluster.status(running));
    cluster.faults.streamsDown.add(StreamName.OWNERSHIP);
    cluster.faults.storeDown = false;
    cluster.runUntil("its end is stored", 500, () -> cluster.status(running).equals(COMPLETED));

    String next = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.run(100);
    assertEquals(new CallAnswer.Accepted(), cluster.submissions.get(next));
  }
}
