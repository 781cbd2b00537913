package org.fescuehook.logic.batch;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.model.batch.JobPhase;
import org.junit.jupiter.api.Test;

/**
 * Seen: jobs stay in progress for good, and new ones go to the same executors and stay there too.
 * Once, the answer of an executor or of the advice service did not come to the decisions, as the
 * ring in front of them was full. Cause: the poll, or the question, counts as under way until its
 * answer comes. That executor is never polled again, looks usable, gets no lease, and its ends are
 * not taken in; no question about any step is asked any more; a start that was rejected is waited
 * for.
 */
class UnansweredOrderTest {

  private static final long LIMIT_MILLIS = 20_000;

  private final BatchCluster cluster = new BatchCluster(1, 1, 1);

  /** Drops the next event of a kind, and tells whether it has come. */
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
  void adviceIsAskedForAgainAfterAQuestionWhoseAnswerNeverCame() {
    cluster.awaitOwner();
    cluster.run(200);
    AtomicBoolean dropped = dropOne(BatchEvent.AdviceEnded.class::isInstance);
    String job = cluster.submit(Declared.ADVISED, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.runUntil("the advice", 5000, dropped::get);
    awaitCompleted(job);
  }

  /** The start comes so late that its ticket has expired, and is rejected. */
  @Test
  void aTaskStartsAgainAfterARejectionThatNeverCame() {
    cluster.awaitOwner();
    cluster.run(200);
    cluster.work.advice.allowOnly(cluster.executors.keySet());
    String job = cluster.submit(Declared.ADVISED, Jobs.of(Jobs.tasks(1, 1, 500)));
    cluster.run(20);
    cluster.faults.storeDelay = 2500;
    // All the while, as an append is sent again while its answer is late.
    cluster.run(2500);
    cluster.faults.storeDelay = 4;
    AtomicBoolean rejected = dropOne(event -> ended(event, OrderOutcome.Rejected.class));
    cluster.runUntil("the rejection", 5000, rejected::get);
    awaitCompleted(job);
  }
}
