package org.fescuehook.logic.batch.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a heartbeat outcome that confirms ownership for too late a time. A VM is paused
 * for some seconds with a heartbeat in flight; when it resumes, the outcome of that heartbeat is
 * queued behind another event. After a long pause the heartbeat is sent again first. The outcome
 * still is that of the send before the pause, and another VM may have claimed since.
 */
class LateHeartbeatTest {

  private final OwnershipDuty duty =
      new OwnershipDuty(new OwnerIdentity(new VmId("vm-1"), "start-1", "10.0.0.1:7000", 1000));

  private static BatchContext at(long millis) {
    return new BatchContext(Duration.ofMillis(millis).toNanos(), millis);
  }

  private WriterPosition step(long millis) {
    List<BatchCommand.Append> appends = appends(millis);
    assertEquals(1, appends.size());
    return appends.getFirst().position();
  }

  private List<BatchCommand.Append> appends(long millis) {
    BatchContext context = at(millis);
    duty.step(context);
    return context.commands().stream()
        .filter(BatchCommand.Append.class::isInstance)
        .map(BatchCommand.Append.class::cast)
        .toList();
  }

  private void assertConfirmsOnlyTheFirstSend() {
    long confirmed = duty.storeReachability(at(13_600)).confirmedAt() / 1_000_000;
    assertTrue(confirmed <= 505, () -> "the store confirmed this owner at " + confirmed + " ms");
  }

  @Test
  void outcomeOfAnEarlierHeartbeatDoesNotConfirmTheRepeatAfterThePause() {
    duty.read(Optional.empty(), 0, at(0));
    duty.appendCompleted(step(0), new AppendOutcome.Stored(0), at(5));
    WriterPosition beforeThePause = step(505);
    WriterPosition afterThePause = step(13_600);
    assertEquals(beforeThePause, afterThePause);
    duty.appendCompleted(beforeThePause, new AppendOutcome.Stored(1), at(13_600));
    assertConfirmsOnlyTheFirstSend();
  }

  @Test
  void outcomeOfAHeartbeatSentBeforeThePauseDoesNotConfirmThePause() {
    duty.read(Optional.empty(), 0, at(0));
    duty.appendCompleted(step(0), new AppendOutcome.Stored(0), at(5));
    WriterPosition beforeThePause = step(505);
    assertEquals(List.of(), appends(6600));
    duty.appendCompleted(beforeThePause, new AppendOutcome.Stored(1), at(6600));
    assertConfirmsOnlyTheFirstSend();
  }
}
