package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.store.StreamName;
import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that refuses submissions forever although the store works, or VMs of
 * which none ever decides, because the outcome of one append or read was lost: the ring in front of
 * the decisions was full, or the step that requested it failed. A flag that an append or a read is
 * in progress must not stay set forever.
 */
class LostStoreOutcomeTest {

  private static final long LIMIT_MILLIS = 15_000;

  private final BatchCluster cluster = new BatchCluster(1, 4, 1);

  private void dropOne(Predicate<BatchEvent> kind) {
    AtomicBoolean open = new AtomicBoolean(true);
    cluster.faults.dropped = (vm, event) -> kind.test(event) && open.getAndSet(false);
  }

  private static boolean appended(BatchEvent event, StreamName stream) {
    return event instanceof BatchEvent.Appended outcome && outcome.stream() == stream;
  }

  private void assertAccepts() {
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.run(200);
    assertEquals(new CallAnswer.Accepted(), cluster.submissions.get(job));
  }

  @Test
  void anOwnerContinuesAfterAHeartbeatWhoseOutcomeNeverCame() {
    cluster.awaitOwner();
    dropOne(event -> appended(event, StreamName.OWNERSHIP));
    cluster.run(LIMIT_MILLIS);
    assertAccepts();
  }

  @Test
  void anOwnerContinuesAfterAnAppendOfJobsWhoseOutcomeNeverCame() {
    cluster.awaitOwner();
    dropOne(event -> appended(event, StreamName.STATE));
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.run(LIMIT_MILLIS);
    assertAccepts();
  }

  @Test
  void aTakeoverContinuesAfterItsFirstAppendHadNoOutcome() {
    dropOne(event -> appended(event, StreamName.STATE));
    cluster.runUntil("an owner", LIMIT_MILLIS, () -> cluster.owner().isPresent());
  }

  @Test
  void aTakeoverContinuesAfterAPageThatNeverCame() {
    dropOne(BatchEvent.StateRead.class::isInstance);
    cluster.runUntil("an owner", LIMIT_MILLIS, () -> cluster.owner().isPresent());
  }

  @Test
  void aVmThatMissedTheOutcomeOfItsClaimCanClaimAgain() {
    dropOne(event -> appended(event, StreamName.OWNERSHIP));
    cluster.run(LIMIT_MILLIS);
    cluster.runUntil("an owner", LIMIT_MILLIS, () -> cluster.owner().isPresent());
    assertAccepts();
  }
}
