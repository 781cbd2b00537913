package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Guards against live owners that replace each other in a store that is slow and loses answers: it
 * took half a second per append and applied 4 of 10 appends seconds late. Ten owners followed each
 * other within 31 s; a takeover took 2 s, each owner decided for 1 to 3 s, and jobs that could run
 * did not. A fixed limit of 2 s without a heartbeat takes slowness for absence, since a heartbeat
 * that is sent three times arrives later than that. The limit has to allow for four heartbeats at
 * the rate at which they arrived.
 */
class SlowLossyStoreTest {

  /** Twice a quarter of a second: the time of the append itself and that of its answer. */
  private static final long APPEND_MILLIS = 480;

  private static final long TROUBLE_MILLIS = 40_000;
  private static final long HISTORIES = 8;

  @Test
  void aLiveOwnerIsNotReplacedWhileTheStoreIsSlowAndLosesAnswers() {
    for (long seed = 1; seed <= HISTORIES; seed++) {
      BatchCluster cluster = new BatchCluster(8, 20, seed);
      cluster.awaitOwner();
      cluster.run(2000);
      int before = cluster.ownershipsWon();
      cluster.faults.storeDelayMillis = APPEND_MILLIS;
      cluster.faults.lostAnswerRate = 0.4;
      cluster.run(TROUBLE_MILLIS);

      int won = cluster.ownershipsWon();
      assertEquals(before, won, "a live owner was replaced; seed " + seed);
    }
  }
}
