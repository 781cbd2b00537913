package org.fescuehook.logic.batch;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.model.batch.JobPhase;
import org.junit.jupiter.api.Test;

/**
 * Guards against jobs that stay in progress forever because an answer of an executor or of the
 * advice service was lost, as the ring in front of the decisions was full. If the poll or the
 * question counted as in progress until its answer came, that executor would look usable but never
 * be polled again, get no lease, and its ends would not be read; no further advice would be
 * requested; and a task whose start was rejected would wait forever.
 */
class LostOrderOutcomeTest {

  private static final long LIMIT_MILLIS = 20_000;

  private final BatchCluster cluster = new BatchCluster(1, 1, 1);

  /** Drops the next event of a kind; the returned flag tells whether that has happened. */
  private AtomicBoolean dropOne(Predicate<BatchEvent> kind) {
    AtomicBoolean dropped = new AtomicBoolean();
    cluster.faults.dropped = (vm, event) -> kind.test(event) && !dropped.getAndSet(true);
    return dropped;
  }

  private static boolean ended(BatchEvent event, Class<? extends OrderOutcome> how) {
    return event instanceof BatchEvent.OrderEnded ended && how.isInstance(ended.outcome());
  }

  private void awaitCompleted(String job) {
    Optional<CallAnswer> wanted = Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));
    cluster.runUntil(job + " is completed", LIMIT_MILLIS, () -> cluster.status(job).equals(wanted));
  }

  @Test
  void anExecutorIsPolledAgainAfterAPollWhoseAnswerNeverCame() {
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 2000)));
    cluster.run(500);
    AtomicBoolean dropped = dropOne(event -> ended(event, OrderOutcome.Polled.class));
    cluster.runUntil("the answer", 5000, dropped::get);
    awaitCompleted(job);
  }

  @Test
  void adviceIsRequestedAgainAfterAnAnswerThatNeverCame() {
    cluster.awaitOwner();
    cluster.run(200);
    AtomicBoolean dropped = dropOne(BatchEvent.AdviceEnded.class::isInstance);
    String job = cluster.submit(TestFixtures.ADVISED, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.runUntil("the advice", 5000, dropped::get);
    awaitCompleted(job);
  }

  /** The start arrives so late that its ticket has expired, and is rejected. */
  @Test
  void aTaskStartsAgainAfterARejectionThatNeverCame() {
    cluster.awaitOwner();
    cluster.run(200);
    cluster.work.advice.allowOnly(cluster.executors.keySet());
    String job = cluster.submit(TestFixtures.ADVISED, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.run(20);
    cluster.faults.storeDelayMillis = 2500;
    // The store stays slow until its answer, as an append is repeated while its answer is late.
    cluster.run(2500);
    cluster.faults.storeDelayMillis = 4;
    AtomicBoolean rejected = dropOne(event -> ended(event, OrderOutcome.Rejected.class));
    cluster.runUntil("the rejection", 5000, rejected::get);
    awaitCompleted(job);
  }
}
