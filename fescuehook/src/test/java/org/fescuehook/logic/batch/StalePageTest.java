package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.ownership.OwnerIdentity;
import org.fescuehook.logic.batch.ownership.OwnerRecord;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Seen: an accepted job is answered as unknown. A VM was paused while a page of the jobs was on its
 * way, a weaker one took over meanwhile, and it claimed again on waking. The page came then, and it
 * decided by it, without having shut the weaker owner out and without what that one had accepted.
 * Cause: a take-over takes any page as one that it has asked for.
 */
class StalePageTest {

  private static final long FIRST_EPOCH = 1;

  private final BatchCore core =
      new BatchCore(
          new OwnerIdentity(new VmId("vm-1"), "start-1", "10.0.0.1:7000", 1500),
          Declared.preferences());

  private List<BatchCommand> at(long millis, BatchEvent event) {
    return core.apply(event, millis * 1_000_000, 1_700_000_000_000L + millis);
  }

  private List<BatchCommand> stored(long millis, StreamName stream, WriterPosition position) {
    long offset = position.epoch() - 1;
    return at(millis, new BatchEvent.Appended(stream, position, new AppendOutcome.Stored(offset)));
  }

  private static WriterPosition position(List<BatchCommand> commands, StreamName stream) {
    return commands.stream()
        .filter(BatchCommand.Append.class::isInstance)
        .map(BatchCommand.Append.class::cast)
        .filter(append -> append.stream() == stream)
        .findFirst()
        .orElseThrow()
        .position();
  }

  private static OwnerRecord claimOfWeakVm() {
    return new OwnerRecord(
        OwnerRecord.Kind.CLAIM, new VmId("vm-2"), "start-1", "10.0.0.2:7000", 5, 4, 250);
  }

  @Test
  void aTakeOverDoesNotTakeAPageThatAFormerOneAskedFor() {
    at(0, new BatchEvent.ConfigurationRead(Declared.configuration()));
    List<BatchCommand> claim = at(0, new BatchEvent.OwnershipRead(Optional.empty(), 0));
    List<BatchCommand> won = stored(5, StreamName.OWNERSHIP, position(claim, StreamName.OWNERSHIP));
    List<BatchCommand> load = stored(10, StreamName.STATE, position(won, StreamName.STATE));
    assertTrue(load.contains(new BatchCommand.LoadState(FIRST_EPOCH, Optional.empty())));

    List<BatchCommand> again =
        at(3000, new BatchEvent.OwnershipRead(Optional.of(claimOfWeakVm()), 5));
    stored(3005, StreamName.OWNERSHIP, position(again, StreamName.OWNERSHIP));
    at(3006, new BatchEvent.ExecutorsListed(List.of()));
    at(3007, new BatchEvent.StateRead(FIRST_EPOCH, List.of(), Optional.empty()));

    assertFalse(core.deciding(), "decides before the weaker owner is shut out");
  }
}
