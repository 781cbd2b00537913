package org.fescuehook.logic.batch.executor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.junit.jupiter.api.Test;

class ExecutorStateTest {

  private static ExecutorState executor() {
    return new ExecutorState(
        new ExecutorProfile(
            Incarnation.ofUnknownStart(new ExecutorId("e")),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
            "pool",
            new FailureDomain("a"),
            new RackId("r"),
            Set.of(),
            new ResourceVector(64_000, 262_144, 8),
            false,
            0),
        new OrderBaseline(0, 0));
  }

  /**
   * An acknowledgement covers all ends up to its number. Guards against acknowledging a later end
   * while an earlier one is not stored: that end would be lost, and the next owner would run its
   * task again although it was done.
   */
  @Test
  void laterEndIsNotAcknowledgedBeforeEarlierOneIsStored() {
    ExecutorState executor = executor();
    executor.runEnds().readUpTo(5);
    executor.runEnds().readUpTo(7);

    executor.runEnds().markStored(7);
    assertEquals(0, executor.runEnds().acknowledgeable());

    executor.runEnds().markStored(5);
    assertEquals(7, executor.runEnds().acknowledgeable());
  }

  @Test
  void endsAreAcknowledgedOnceTheyAreStored() {
    ExecutorState executor = executor();
    executor.runEnds().readUpTo(2);
    executor.runEnds().markStored(2);
    assertEquals(2, executor.runEnds().acknowledgeable());

    executor.runEnds().readUpTo(3);
    assertEquals(2, executor.runEnds().acknowledgeable());
    executor.runEnds().markStored(3);
    assertEquals(3, executor.runEnds().acknowledgeable());
  }

  /**
   * Guards against polls that an executor answers at once with the same ends, because their
   * acknowledgement waits for the store; these were over half of all polls.
   */
  @Test
  void pollIsDelayedWhileEndsAreBeingStored() {
    ExecutorState executor = executor();
    executor.pollSent(1, 0, 0);
    executor.runEnds().readUpTo(3);
    executor.pollAnswered(millis(1000));
    assertFalse(executor.pollDue(millis(1010)));

    executor.runEnds().markStored(3);
    assertTrue(executor.pollDue(millis(1010)));
  }

  @Test
  void pollingContinuesIfStoringEndsTakesLong() {
    ExecutorState executor = executor();
    executor.pollSent(1, 0, 0);
    executor.runEnds().readUpTo(3);
    executor.pollAnswered(millis(1000));

    assertTrue(executor.pollDue(millis(1100)));
  }

  /**
   * Guards against sending an acknowledgement that is not due: if another incarnation received it,
   * that one would discard its ends unread.
   */
  @Test
  void pollAcknowledgesNothingOnceAllIsConfirmed() {
    RunEndTracker ends = executor().runEnds();
    ends.readUpTo(3);
    ends.markStored(3);
    assertEquals(3, ends.numberToAcknowledge());

    ends.acknowledgementSent(3);
    ends.acknowledgementLost();
    assertEquals(3, ends.numberToAcknowledge());

    ends.acknowledgementSent(3);
    ends.acknowledgementConfirmed();
    assertEquals(0, ends.numberToAcknowledge());
  }

  private static long millis(long millis) {
    return millis * 1_000_000;
  }
}
