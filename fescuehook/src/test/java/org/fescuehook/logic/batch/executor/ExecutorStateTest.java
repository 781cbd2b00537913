package org.fescuehook.logic.batch.executor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import org.fescuehook.model.batch.Demand;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.junit.jupiter.api.Test;

class ExecutorStateTest {

  private static ExecutorState executor() {
    return new ExecutorState(
        new ExecutorProfile(
            Incarnation.undated(new ExecutorId("e")),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
            "pool",
            new FailureDomain("a"),
            new RackId("r"),
            Set.of(),
            new Demand(64_000, 262_144, 8),
            false,
            0),
        new OrderBaseline(0, 0));
  }

  /**
   * An acknowledgement covers all ends up to its number. While the store was away, a later end that
   * needed no record was acknowledged, and with it an earlier one that was not stored: its task was
   * done, nobody knew, and it ran again under the next owner.
   */
  @Test
  void aLaterEndIsNotAcknowledgedBeforeAnEarlierOneIsStored() {
    ExecutorState executor = executor();
    executor.ends().sawUpTo(5);
    executor.ends().sawUpTo(7);

    executor.ends().stored(7);
    assertEquals(0, executor.ends().acknowledgeable());

    executor.ends().stored(5);
    assertEquals(7, executor.ends().acknowledgeable());
  }

  @Test
  void endsAreAcknowledgedAsTheyAreStored() {
    ExecutorState executor = executor();
    executor.ends().sawUpTo(2);
    executor.ends().stored(2);
    assertEquals(2, executor.ends().acknowledgeable());

    executor.ends().sawUpTo(3);
    assertEquals(2, executor.ends().acknowledgeable());
    executor.ends().stored(3);
    assertEquals(3, executor.ends().acknowledgeable());
  }

  /** Each such poll came back at once with the same ends: over half of all polls of a full day. */
  @Test
  void noPollIsDueWhileEndsAreBeingStored() {
    ExecutorState executor = executor();
    executor.pollSent(1, 0, 0);
    executor.ends().sawUpTo(3);
    executor.pollAnswered(millis(1000));
    assertFalse(executor.pollDue(millis(1010)));

    executor.ends().stored(3);
    assertTrue(executor.pollDue(millis(1010)));
  }

  @Test
  void pollsGoOnWhenTheStoreTakesLong() {
    ExecutorState executor = executor();
    executor.pollSent(1, 0, 0);
    executor.ends().sawUpTo(3);
    executor.pollAnswered(millis(1000));

    assertTrue(executor.pollDue(millis(1100)));
  }

  /** A number that is sent for nothing covers ends of another life that the poll may come to. */
  @Test
  void onlyWhatIsOwedIsAcknowledged() {
    RunEndTracker ends = executor().ends();
    ends.sawUpTo(3);
    ends.stored(3);
    assertEquals(3, ends.owed());

    ends.sent(3);
    ends.missed();
    assertEquals(3, ends.owed());

    ends.sent(3);
    ends.answered();
    assertEquals(0, ends.owed());
  }

  private static long millis(long millis) {
    return millis * 1_000_000;
  }
}
