package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.junit.jupiter.api.Test;

/**
 * Guards against a lone task that waits beside a fleet that is mostly idle: capacity that is held
 * for runs in doubt counts as in use, so that the rest stays free for urgent work.
 */
class UncertainCapacityTest {

  /** Of 64 accelerators. */
  private static final int RUNNING = 14;

  private static final int IN_DOUBT = 32;

  private final BatchCluster cluster = new BatchCluster(1, 8, 1);

  private String submit(String queue, int tasks, long millis) {
    return cluster.submit(queue, Jobs.of(Jobs.tasks(tasks, 1, millis)));
  }

  /** Submits and cancels a job whose starts are not carried out; no answer tells the owner so. */
  private void leaveInDoubt(int tasks) {
    cluster.faults.startsRefused = true;
    cluster.faults.lostStops = true;
    cluster.faults.dropped =
        (vm, event) ->
            event instanceof BatchEvent.OrderEnded ended
                && ended.outcome() instanceof OrderOutcome.NotSent;
    String job = submit(BatchCluster.URGENT, tasks, 5000);
    cluster.run(500);
    cluster.call(new BatchCall.Cancel(BatchCluster.URGENT, BatchCluster.KEY, job));
    cluster.run(100);
    assertEquals(tasks, cluster.notes(BatchLogEvent.RUN_STOPPING).size());
    cluster.faults.startsRefused = false;
  }

  private void startsBesides(int inDoubt) {
    cluster.awaitOwner();
    cluster.run(500);
    submit(BatchCluster.URGENT, RUNNING, 60_000);
    cluster.runUntil("the other tasks", 1000, () -> cluster.work.starts().size() == RUNNING);
    if (inDoubt > 0) {
      leaveInDoubt(inDoubt);
    }
    submit(BatchCluster.BULK, 1, 5000);
    cluster.runUntil("the task", 3000, () -> cluster.work.starts().size() > RUNNING);
  }

  @Test
  void aTaskStartsWhileMostOfTheFleetIsIdle() {
    startsBesides(0);
  }

  @Test
  void aTaskStartsWhileMostOfTheFleetIsIdleOrInDoubt() {
    startsBesides(IN_DOUBT);
  }
}
