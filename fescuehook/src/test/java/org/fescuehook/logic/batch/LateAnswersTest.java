package org.fescuehook.logic.batch;

import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Pattern: answers are read 0.25 s after the question, however few are under way: the VM has cold
 * code or other work, or the links are slow. All of them are within the time limit of 0.35 s.
 *
 * <p>Cause: each answer after 0.2 s makes the contact window smaller, also if fewer contacts make
 * answers no faster. Its floor of four lets 16 executors a second be asked, so that a fleet of 350
 * is not in use for twenty seconds.
 */
class LateAnswersTest {

  private static final int EXECUTORS = 350;
  private static final long ANSWER_MILLIS = 250;

  private final BatchCluster cluster = new BatchCluster(0, EXECUTORS, 1);

  @Test
  void aFleetThatAnswersInTimeIsReachedAlsoIfAllAnswersAreLate() {
    cluster.faults.pollMillis = ANSWER_MILLIS;
    cluster.start(new VmId("weak-0"));
    cluster.awaitOwner();
    cluster.runUntil("all executors", 8_000, () -> cluster.orders.reached.size() == EXECUTORS);
  }
}
