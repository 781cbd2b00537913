package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.ownership.OwnerIdentity;
import org.fescuehook.logic.batch.ownership.OwnerRecord;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Guards against an accepted job that is answered as unknown because a takeover used a page of jobs
 * that an earlier takeover had requested. A VM is paused while the page is on its way, a VM with
 * less CPU takes over meanwhile, and the first claims again when it resumes. If it decided on the
 * old page, it would neither have fenced off the other owner nor know the jobs accepted by it.
 */
class StalePageTest {

  private static final long FIRST_EPOCH = 1;

  private final BatchCore core =
      new BatchCore(
          new OwnerIdentity(new VmId("vm-1"), "start-1", "10.0.0.1:7000", 1500),
          TestFixtures.preferences());

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
        OwnerRecord.Kind.CLAIM,
        new VmId("vm-2"),
        "start-1",
        "10.0.0.2:7000",
        5,
        4,
        250,
        0,
        Optional.empty());
  }

  @Test
  void aTakeoverIgnoresAPageRequestedByAnEarlierOne() {
    at(0, new BatchEvent.EvacuationsRead(Set.of(), 0, OptionalLong.empty()));
    at(0, new BatchEvent.ConfigurationRead(TestFixtures.configuration()));
    List<BatchCommand> claim = at(0, new BatchEvent.OwnershipRead(Optional.empty(), 0));
    List<BatchCommand> won = stored(5, StreamName.OWNERSHIP, position(claim, StreamName.OWNERSHIP));
    List<BatchCommand> load = stored(10, StreamName.STATE, position(won, StreamName.STATE));
    assertTrue(load.contains(new BatchCommand.LoadState(FIRST_EPOCH, Optional.empty())));

    List<BatchCommand> again =
        at(3000, new BatchEvent.OwnershipRead(Optional.of(claimOfWeakVm()), 5));
    stored(3005, StreamName.OWNERSHIP, position(again, StreamName.OWNERSHIP));
    at(3006, new BatchEvent.ExecutorsListed(List.of()));
    at(3007, new BatchEvent.StateRead(FIRST_EPOCH, List.of(), Optional.empty()));

    assertFalse(core.deciding(), "decides before the other owner is fenced off");
  }
}
