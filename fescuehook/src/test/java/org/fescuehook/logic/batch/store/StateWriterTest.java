package org.fescuehook.logic.batch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchContext;
import org.junit.jupiter.api.Test;

class StateWriterTest {

  private final List<String> events = new ArrayList<>();
  private final StateWriter writer = new StateWriter(7, at(0));

  private static BatchContext at(long millis) {
    return new BatchContext(Duration.ofMillis(millis).toNanos(), 0);
  }

  private void put(String key) {
    writer.put(key, () -> Optional.of(new byte[1]), () -> events.add(key + " stored"));
  }

  private void putExpiring(String key, long millis) {
    writer.putExpiring(
        key,
        () -> Optional.of(new byte[1]),
        () -> events.add(key + " stored"),
        loss -> events.add(key + " " + loss),
        at(millis));
  }

  private static WriterPosition position(long sequence) {
    return new WriterPosition(7, sequence);
  }

  @Test
  void pendingChangesAreSentAndConfirmedTogether() {
    put("a");
    put("b");
    writer.flush(at(0));
    put("c");
    assertTrue(writer.appendCompleted(position(0), new AppendOutcome.Stored(1), at(5)));
    assertEquals(List.of("a stored", "b stored"), events);
    assertFalse(writer.idle());
  }

  @Test
  void unansweredAppendIsRepeatedAndNotGivenUp() {
    putExpiring("a", 0);
    writer.flush(at(0));
    writer.appendCompleted(position(0), new AppendOutcome.Unanswered("timeout"), at(1000));
    writer.expire(at(3000));
    assertEquals(List.of(), events);
    writer.flush(at(3000));
    writer.appendCompleted(position(0), new AppendOutcome.Stored(1), at(3005));
    assertEquals(List.of("a stored"), events);
  }

  @Test
  void changeRefusedByTheStoreIsGivenUpAsNotStored() {
    putExpiring("a", 0);
    writer.flush(at(0));
    writer.appendCompleted(position(0), new AppendOutcome.Refused("503"), at(10));
    writer.expire(at(500));
    assertEquals(List.of(), events);
    writer.expire(at(800));
    assertEquals(List.of("a NOT_STORED"), events);
    assertTrue(writer.idle());
  }

  /**
   * Guards against submissions that wait until the append before them has timed out, 1.7 s instead
   * of 0.7 s.
   */
  @Test
  void changeBehindAnUnansweredAppendIsGivenUpBeforeThatTimesOut() {
    put("silent");
    writer.flush(at(0));
    putExpiring("behind", 10);
    writer.expire(at(600));
    assertEquals(List.of(), events);
    assertTrue(writer.storeUnavailable(at(720)));
    writer.expire(at(720));
    assertEquals(List.of("behind NOT_STORED"), events);
  }

  @Test
  void changesOfAFencedAppendAreNotStored() {
    putExpiring("sent", 0);
    writer.flush(at(0));
    putExpiring("waiting", 1);
    assertFalse(writer.appendCompleted(position(0), new AppendOutcome.Fenced(), at(5)));
    writer.close();
    assertEquals(List.of("waiting NOT_STORED", "sent NOT_STORED"), events);
  }

  @Test
  void changeOfAnAppendUnansweredBeforeFencingStaysUnknown() {
    putExpiring("sent", 0);
    writer.flush(at(0));
    writer.appendCompleted(position(0), new AppendOutcome.Unanswered("timeout"), at(1000));
    writer.flush(at(1200));
    assertFalse(writer.appendCompleted(position(0), new AppendOutcome.Fenced(), at(1205)));
    writer.close();
    assertEquals(List.of("sent UNKNOWN"), events);
  }

  /** Stores one append, after which several may be in flight. */
  private void storeFirst() {
    put("first");
    writer.flush(at(0));
    writer.appendCompleted(position(0), new AppendOutcome.Stored(0), at(700));
    events.clear();
  }

  private int appendsOf(BatchContext context) {
    writer.flush(context);
    return context.commands().size();
  }

  /**
   * Guards against a change that waits for two slow appends: 1.05 s with a store that takes 0.7 s.
   */
  @Test
  void changeIsSentWhileASlowAppendIsInFlight() {
    storeFirst();
    put("a");
    assertEquals(1, appendsOf(at(1000)));
    put("b");
    assertEquals(0, appendsOf(at(1100)));
    assertEquals(1, appendsOf(at(1180)));
    writer.appendCompleted(position(1), new AppendOutcome.Stored(1), at(1700));
    assertEquals(List.of("a stored"), events);
    writer.appendCompleted(position(2), new AppendOutcome.Stored(2), at(1880));
    assertEquals(List.of("a stored", "b stored"), events);
    assertTrue(writer.idle());
  }

  /**
   * An epoch may begin at any sequence number, so the store would reject the first append if a
   * later one arrived before it.
   */
  @Test
  void nothingIsSentWhileTheFirstAppendOfAnEpochIsInFlight() {
    put("a");
    writer.flush(at(0));
    put("b");
    assertEquals(0, appendsOf(at(900)));
  }

  @Test
  void storedAppendConfirmsAllBeforeIt() {
    storeFirst();
    put("a");
    writer.flush(at(1000));
    put("b");
    writer.flush(at(1200));
    writer.appendCompleted(position(2), new AppendOutcome.Stored(2), at(1300));
    assertEquals(List.of("a stored", "b stored"), events);
    writer.appendCompleted(position(1), new AppendOutcome.Unanswered("timeout"), at(2000));
    assertTrue(writer.idle());
  }

  @Test
  void appendThatOvertookAnEarlierOneIsSentAgainAfterIt() {
    storeFirst();
    put("a");
    writer.flush(at(1000));
    put("b");
    writer.flush(at(1200));
    assertTrue(writer.appendCompleted(position(2), new AppendOutcome.OutOfSequence(1), at(1210)));
    assertEquals(0, appendsOf(at(1400)));
    writer.appendCompleted(position(1), new AppendOutcome.Stored(1), at(1700));
    assertEquals(1, appendsOf(at(1701)));
    writer.appendCompleted(position(2), new AppendOutcome.Stored(2), at(2400));
    assertEquals(List.of("a stored", "b stored"), events);
  }

  @Test
  void sequenceNumberThatTheStoreHasPassedMeansThatOwnershipIsLost() {
    storeFirst();
    put("a");
    writer.flush(at(1000));
    assertFalse(writer.appendCompleted(position(1), new AppendOutcome.OutOfSequence(5), at(1010)));
  }

  @Test
  void refusedAppendIsNotGivenUpWhileAnotherOneMayBeStored() {
    storeFirst();
    putExpiring("a", 1000);
    writer.flush(at(1000));
    putExpiring("b", 1200);
    writer.flush(at(1200));
    writer.appendCompleted(position(1), new AppendOutcome.Unanswered("timeout"), at(1300));
    writer.appendCompleted(position(2), new AppendOutcome.Refused("503"), at(1300));
    writer.expire(at(9000));
    assertEquals(List.of(), events);
    writer.close();
    assertEquals(List.of("a UNKNOWN", "b NOT_STORED"), events);
  }

  @Test
  void refusedAppendsAreSentAgainTogether() {
    storeFirst();
    putExpiring("a", 1000);
    writer.flush(at(1000));
    putExpiring("b", 1200);
    writer.flush(at(1200));
    writer.appendCompleted(position(2), new AppendOutcome.Refused("503"), at(1300));
    writer.appendCompleted(position(1), new AppendOutcome.Refused("503"), at(1300));
    assertEquals(1, appendsOf(at(1400)));
    writer.appendCompleted(position(1), new AppendOutcome.Stored(1), at(2100));
    assertEquals(List.of("a stored", "b stored"), events);
  }
}
