package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

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

  /** Longer than any lease, including the margin for the executor's clock. */
  private static final long LEASE_MILLIS = 6500;

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
    deliver(unsentStarts.getFirst(), outcome);
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

  /** Its lease has expired and was not extended, so a start that arrives now is rejected. */
  @Test
  void aStartThatHadNoAnswerHoldsNoCapacityAfterItsLease() {
    cancelDuringStart(new OrderOutcome.Unanswered("timeout"));
    cluster.run(LEASE_MILLIS);
    assertStartsWithin(1000, 8);
  }

  /** Guards against a task that runs twice: until its lease has expired, the start may arrive. */
  @Test
  void aStartThatHadNoAnswerHoldsItsCapacityUntilItsLeaseHasExpired() {
    cancelDuringStart(new OrderOutcome.Unanswered("timeout"));
    int before = cluster.work.starts().size();
    submit(8, 300);
    cluster.run(LEASE_MILLIS - 1500);
    assertEquals(before, cluster.work.starts().size());
    assertEquals(List.of(), cluster.notes(BatchLogEvent.RUN_LOST));
  }

  /** The lease of the executor is extended for the other run, which does not help the start. */
  @Test
  void aStartThatHadNoAnswerHoldsNoCapacityAfterItsLeaseBesideAnotherRun() {
    submit(1, 60_000);
    cluster.runUntil("the other run", 1000, () -> cluster.work.starts().size() == 1);
    withholdStarts();
    String job = submit(4, 1000);
    cluster.runUntil("the start order", 500, () -> !unsentStarts.isEmpty());
    cluster.faults.lostStops = true;
    cancel(job);
    cluster.run(200);
    deliverStartOutcome(new OrderOutcome.Unanswered("timeout"));
    cluster.run(LEASE_MILLIS);
    assertStartsWithin(1000, 4);
  }

  /**
   * Guards against a task that runs twice, as a run that an earlier start has begun counts as never
   * begun. Its stop was acknowledged, which shows only that no start begins it from then on.
   */
  @Test
  void aRunThatAnEarlierStartMayHaveBegunIsNotOverWhenALaterStartIsNotSent() {
    List<BatchEvent.OrderEnded> answeredStarts = new ArrayList<>();
    cluster.faults.dropped =
        (vm, event) -> {
          boolean started =
              event instanceof BatchEvent.OrderEnded ended
                  && ended.outcome() instanceof OrderOutcome.Done;
          if (started) {
            answeredStarts.add((BatchEvent.OrderEnded) event);
          }
          return started || isPoll(event);
        };
    String job = submit(8, 60_000);
    cluster.runUntil("the first start", 500, () -> answeredStarts.size() == 1);
    deliver(answeredStarts.get(0), new OrderOutcome.Unanswered("timeout"));
    cluster.runUntil("the second start", 500, () -> answeredStarts.size() == 2);
    cluster.faults.dropped = (vm, event) -> isPoll(event);
    cancel(job);
    cluster.runUntil(
        "the stop", 500, () -> !cluster.notes(BatchLogEvent.STOP_ORDER_ENDED).isEmpty());
    deliver(answeredStarts.get(1), new OrderOutcome.NotSent("timeout", true));
    cluster.run(100);
    assertEquals(List.of(), cluster.notes(BatchLogEvent.RUN_LOST));
  }

  private static boolean isPoll(BatchEvent event) {
    return event instanceof BatchEvent.OrderEnded ended
        && ended.outcome() instanceof OrderOutcome.Polled;
  }

  private void deliver(BatchEvent.OrderEnded order, OrderOutcome outcome) {
    BatchEvent.OrderEnded ended =
        new BatchEvent.OrderEnded(order.executor(), order.number(), outcome);
    cluster.owner().orElseThrow().deliver(ended);
  }
}
