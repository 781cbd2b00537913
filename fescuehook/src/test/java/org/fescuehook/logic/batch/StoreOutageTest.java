package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.store.StreamName;
import org.junit.jupiter.api.Test;

/** What callers hear while the store is away. */
class StoreOutageTest {

  private final BatchCluster cluster = new BatchCluster(3, 8, 1);

  private long comeBackAfter() {
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

  /** Pattern: the store's stream of jobs is away while ownership is confirmed as ever. */
  @Test
  void callersComeBackLaterAlsoIfOnlyTheJobsCannotBeStored() {
    cluster.awaitOwner();
    cluster.run(500);
    cluster.faults.streamsDown.add(StreamName.STATE);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.run(2500);

    assertEquals(2300, comeBackAfter(), 300);
    cluster.run(2000);
    assertEquals(3000, comeBackAfter());
  }

  /**
   * Pattern: an outage of some seconds outlasted all attempts of callers that came back at once.
   */
  @Test
  void callersComeBackLaterTheLongerTheOutageHasLasted() {
    cluster.awaitOwner();
    cluster.run(500);
    cluster.faults.storeDown = true;
    cluster.run(1500);
    long first = comeBackAfter();
    cluster.run(800);
    long second = comeBackAfter();
    cluster.run(4000);

    assertEquals(1500, first, 600);
    assertEquals(first + 820, second, 100);
    assertEquals(3000, comeBackAfter());
  }
}
