package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.ownership.OwnerIdentity;
import org.fescuehook.logic.batch.ownership.OwnerRecord;
import org.fescuehook.logic.batch.ownership.OwnershipDuty;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

/**
 * Pattern: a heartbeat is stored and its answer is lost, and then ownership is given up. The
 * release goes out under the sequence of that heartbeat, so the store answers it as it answered
 * that one and stores nothing. The VM takes it for stored, and the others wait for 2 s of silence.
 */
class SwallowedReleaseTest {

  private final FakeStore store = new FakeStore();
  private final OwnershipDuty duty =
      new OwnershipDuty(new OwnerIdentity(new VmId("vm-1"), "start-1", "10.0.0.1:7000", 1000));

  private static BatchContext at(long millis) {
    return new BatchContext(Duration.ofMillis(millis).toNanos(), millis);
  }

  /** Has the duty do what is due and returns the append, stored, with its outcome. */
  private BatchCommand.Append step(long millis) {
    BatchContext context = at(millis);
    duty.step(context);
    List<BatchCommand.Append> appends =
        context.commands().stream()
            .filter(BatchCommand.Append.class::isInstance)
            .map(BatchCommand.Append.class::cast)
            .toList();
    assertEquals(1, appends.size());
    return appends.getFirst();
  }

  private AppendOutcome stored(BatchCommand.Append append) {
    return store.append(append.stream(), append.position(), append.expectedEnd(), append.records());
  }

  private OwnerRecord.Kind newestStored() {
    BatchEvent.OwnershipRead read = (BatchEvent.OwnershipRead) store.ownership();
    return read.newest().orElseThrow().kind();
  }

  @Test
  void aVmThatTakesItsReleaseForStoredHasStoredIt() {
    duty.read(Optional.empty(), 0, at(0));
    BatchCommand.Append claim = step(0);
    duty.appendCompleted(claim.position(), stored(claim), at(5));
    BatchCommand.Append heartbeat = step(505);
    stored(heartbeat);
    duty.appendCompleted(heartbeat.position(), new AppendOutcome.Unanswered("timeout"), at(1505));
    duty.yield(at(1510));
    for (long millis = 1700; millis < 4000 && duty.epoch().isPresent(); millis += 600) {
      BatchCommand.Append append = step(millis);
      duty.appendCompleted(append.position(), stored(append), at(millis + 5));
    }
    assertTrue(duty.epoch().isEmpty(), "ownership is not given up");
    assertEquals(OwnerRecord.Kind.RELEASE, newestStored());
  }
}
