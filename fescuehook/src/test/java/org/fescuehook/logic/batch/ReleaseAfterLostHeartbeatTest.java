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
 * Guards against a release of ownership that is not stored. A heartbeat is stored and its answer is
 * lost; if the release used the sequence number of that heartbeat, the store would repeat the
 * earlier answer and store nothing. The VM would take the release for stored, and the others would
 * wait for 2 s of silence.
 */
class ReleaseAfterLostHeartbeatTest {

  private final FakeStore store = new FakeStore();
  private final OwnershipDuty duty =
      new OwnershipDuty(new OwnerIdentity(new VmId("vm-1"), "start-1", "10.0.0.1:7000", 1000));

  private static BatchContext at(long millis) {
    return new BatchContext(Duration.ofMillis(millis).toNanos(), millis);
  }

  /** Makes the duty do what is due and returns the append that it sends. */
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
  void aReleaseThatCountsAsStoredIsStored() {
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
    assertTrue(duty.epoch().isEmpty(), "the VM has not given up ownership");
    assertEquals(OwnerRecord.Kind.RELEASE, newestStored());
  }
}
