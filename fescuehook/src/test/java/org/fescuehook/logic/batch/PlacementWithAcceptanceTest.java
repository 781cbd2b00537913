package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.store.StreamName;
import org.junit.jupiter.api.Test;

/**
 * Jobs for which there is room when they are submitted: their placements are stored by the append
 * that stores them. Guards against urgent work that waits for two appends of a slow store.
 */
class PlacementWithAcceptanceTest {

  private static final long APPEND_MILLIS = 600;

  private final BatchCluster cluster = new BatchCluster(2, 2, 1);

  private void begin() {
    cluster.awaitOwner();
    cluster.run(500);
  }

  @Test
  void aJobForWhichThereIsRoomStartsAfterOneAppend() {
    begin();
    cluster.faults.appendMillis = APPEND_MILLIS;
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(2, 8, 1000)));
    cluster.run(APPEND_MILLIS + 150);
    assertEquals(2, cluster.work.starts().size());
  }

  @Test
  void nothingStartsBeforeTheJobIsStored() {
    begin();
    cluster.faults.appendMillis = APPEND_MILLIS;
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(2, 8, 1000)));
    cluster.run(APPEND_MILLIS - 50);
    assertEquals(2, cluster.notes(BatchLogEvent.RUN_PLACED).size());
    assertEquals(0, cluster.orders.starts());
    assertNull(cluster.submissions.get(job));
  }

  /** The first job keeps an append under way, so that the second one is certain not to be sent. */
  @Test
  void aJobThatIsNotStoredLeavesNoPlacementAndIsNotKnown() {
    begin();
    cluster.faults.streamsDown.add(StreamName.STATE);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 8, 9000)));
    cluster.run(50);
    String refused = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 8, 9000)));
    cluster.run(50);
    assertEquals(2, cluster.notes(BatchLogEvent.RUN_PLACED).size());
    cluster.runUntil("the refusal", 5000, () -> cluster.submissions.get(refused) != null);
    assertInstanceOf(CallAnswer.Refused.class, cluster.submissions.get(refused));
    cluster.faults.streamsDown.clear();
    cluster.run(3000);
    assertEquals(Optional.of(new CallAnswer.NoSuchJob()), cluster.status(refused));
    int tasks = 2 - cluster.work.starts().size();
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(tasks, 8, 9000)));
    cluster.runUntil("starts in the whole fleet", 1000, () -> cluster.work.starts().size() == 2);
    cluster.restart(cluster.owner().orElseThrow().id, 500);
    cluster.run(500);
    cluster.awaitOwner();
    assertEquals(Optional.of(new CallAnswer.NoSuchJob()), cluster.status(refused));
  }

  @Test
  void aJobThatIsNotStoredYetPreemptsNothing() {
    begin();
    cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.checkpointed(16, 1, 20_000)));
    cluster.run(3500);
    assertTrue(cluster.work.starts().size() > 8, "the fleet has room for the gang");
    cluster.faults.appendMillis = APPEND_MILLIS;
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(2, 8, 4000)));
    cluster.run(APPEND_MILLIS - 50);
    assertEquals(0, cluster.notes(BatchLogEvent.RUN_STOPPING).size());
    cluster.run(100);
    assertTrue(!cluster.notes(BatchLogEvent.RUN_STOPPING).isEmpty(), "nothing is preempted");
  }
}
