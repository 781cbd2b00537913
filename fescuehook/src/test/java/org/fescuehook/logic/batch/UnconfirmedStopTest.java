package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against capacity that stays reserved for a run that cannot be alive: its start was never
 * carried out, it was stopped meanwhile, and no answer to a stop arrives, while the executor
 * answers polls and does not list it.
 */
class UnconfirmedStopTest {

  private final BatchCluster cluster = new BatchCluster(1, 1, 1);

  /** Starts whose outcomes are withheld from the owner. */
  private final List<BatchEvent.OrderEnded> unsentStarts = new ArrayList<>();

  @BeforeEach
  void begin() {
    cluster.awaitOwner();
    cluster.run(500);
  }

  private String submit(int accelerators, long millis) {
    return cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, accelerators, millis)));
  }

  private void cancel(String job) {
    cluster.call(new BatchCall.Cancel(BatchCluster.URGENT, BatchCluster.KEY, job));
  }

  private void withholdStarts() {
    cluster.faults.startsRefused = true;
    cluster.faults.dropped =
        (vm, event) -> {
          boolean unsent =
              event instanceof BatchEvent.OrderEnded ended
                  && ended.outcome() instanceof OrderOutcome.NotSent;
          if (unsent) {
            unsentStarts.add((BatchEvent.OrderEnded) event);
          }
          return unsent;
        };
  }

  private void deliverStartOutcome(OrderOutcome outcome) {
    cluster.faults.dropped = ClusterFaults.NOTHING_DROPPED;
    cluster.faults.startsRefused = false;
    BatchEvent.OrderEnded withheld = unsentStarts.getFirst();
    cluster
        .owner()
        .orElseThrow()
        .deliver(new BatchEvent.OrderEnded(withheld.executor(), withheld.number(), outcome));
  }

  private void assertStartsWithin(long millis, int accelerators) {
    int before = cluster.work.starts().size();
    submit(accelerators, 300);
    cluster.runUntil("the next start", millis, () -> cluster.work.starts().size() > before);
  }

  /** Cancels a job whose start is in flight, and then learns what became of the start. */
  private void cancelDuringStart(OrderOutcome startOutcome) {
    withholdStarts();
    String job = submit(8, 1000);
    cluster.runUntil("the start order", 500, () -> !unsentStarts.isEmpty());
    cluster.faults.lostStops = true;
    cancel(job);
    cluster.run(200);
    deliverStartOutcome(startOutcome);
  }

  @Test
  void aRejectedStartHoldsNoCapacityWhileItsStopIsNotConfirmed() {
    cancelDuringStart(new OrderOutcome.Rejected(Rejection.NO_ROOM));
    assertStartsWithin(1000, 8);
  }
}
