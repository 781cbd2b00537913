package org.fescuehook.logic.batch;

import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a new owner that takes too long to reach its executors when every answer takes
 * 0.25 s, however few polls are open, for example on a VM that is busy or over slow links. All
 * answers are within the time limit of 0.35 s.
 *
 * <p>If each answer after 0.2 s reduced the contact window, even where fewer contacts do not make
 * answers faster, the window would stay at its minimum of four: 16 executors a second, so a fleet
 * of 350 would not be in use for twenty seconds.
 */
class SlowPollAnswersTest {

  private static final int EXECUTORS = 350;
  private static final long ANSWER_MILLIS = 250;

  private final BatchCluster cluster = new BatchCluster(0, EXECUTORS, 1);

  @Test
  void aFleetIsReachedSoonThoughAllAnswersAreSlow() {
    cluster.faults.pollMillis = ANSWER_MILLIS;
    cluster.start(new VmId("weak-0"));
    cluster.awaitOwner();
    cluster.runUntil("all executors", 8_000, () -> cluster.orders.reached.size() == EXECUTORS);
  }
}
