package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a cancel that is acknowledged although only one VM knows of the stops: if that VM
 * is lost before its stops have arrived, the runs go on.
 */
class ConfirmedCancelTest {

  private static final ExecutorId EXECUTOR = new ExecutorId("e0");

  private final BatchCluster cluster = new BatchCluster(2, 1, 5);

  private String running() {
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 60_000)));
    cluster.runUntil("the start", 1000, this::runs);
    return job;
  }

  private boolean runs() {
    return !cluster.executors.get(EXECUTOR).running().isEmpty();
  }

  private long cancel(String job) {
    return cluster
        .call(new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, job))
        .orElseThrow();
  }

  private Optional<CallAnswer> answer(long ticket) {
    return Optional.ofNullable(cluster.answers.get(ticket));
  }

  @Test
  void aCancelIsConfirmedOnceTheExecutorHasAcknowledgedTheStop() {
    String job = running();
    cluster.faults.lostStops = true;
    long ticket = cancel(job);
    cluster.run(1000);
    assertEquals(Optional.empty(), answer(ticket));
    cluster.faults.lostStops = false;
    cluster.runUntil("the answer", 1000, () -> answer(ticket).isPresent());
    assertEquals(Optional.of(new CallAnswer.Cancelled()), answer(ticket));
    cluster.run(200);
    assertFalse(runs());
  }

  @Test
  void aCancelIsConfirmedAtOnceIfTheStopIsAnsweredAtOnce() {
    String job = running();
    long ticket = cancel(job);
    cluster.run(40);
    assertEquals(Optional.of(new CallAnswer.Cancelled()), answer(ticket));
  }

  /** The lease is not renewed and ends the run within the time that callers expect. */
  @Test
  void aSilentExecutorDelaysTheConfirmationUntilItsLeaseIsNearlyOver() {
    String job = running();
    cluster.faults.silent.add(EXECUTOR);
    long first = cancel(job);
    cluster.run(2700);
    assertEquals(Optional.empty(), answer(first));
    long again = cancel(job);
    cluster.run(500);
    assertEquals(Optional.of(new CallAnswer.Cancelled()), answer(again));
    cluster.run(3200);
    assertFalse(runs());
  }

  /** The lease is renewed because of the other work, so only the stop ends the run. */
  @Test
  void aCancelBesideOtherWorkIsNotConfirmedWhileItsStopIsLost() {
    String job = running();
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 60_000)));
    cluster.runUntil("its start", 1000, () -> cluster.work.starts().size() == 2);
    cluster.faults.lostStops = true;
    cancel(job);
    cluster.run(10_000);
    long again = cancel(job);
    cluster.run(1000);
    assertEquals(Optional.empty(), answer(again));
    cluster.faults.lostStops = false;
    cluster.runUntil("the answer", 1000, () -> answer(again).isPresent());
    cluster.run(200);
    assertEquals(1, cluster.executors.get(EXECUTOR).running().size());
  }

  @Test
  void aRepeatedCancelWaitsForTheStopsToo() {
    String job = running();
    cluster.faults.lostStops = true;
    cancel(job);
    cluster.run(500);
    long again = cancel(job);
    cluster.run(500);
    assertEquals(Optional.empty(), answer(again));
    cluster.faults.lostStops = false;
    cluster.runUntil("the answer", 1000, () -> answer(again).isPresent());
    cluster.run(200);
    assertFalse(runs());
  }

  /**
   * The next owner learns from the store which runs it has to stop, and which cancel waits for
   * them.
   */
  @Test
  void aCancelAtTheNextOwnerIsConfirmedOnceItHasStoppedTheRun() {
    String job = running();
    cluster.faults.lostStops = true;
    cancel(job);
    cluster.run(100);
    cluster.vms.get(cluster.owner().orElseThrow().id).running = false;
    cluster.awaitOwner();
    long again = cancel(job);
    cluster.run(500);
    assertEquals(Optional.empty(), answer(again));
    cluster.faults.lostStops = false;
    cluster.runUntil("the answer", 1000, () -> answer(again).isPresent());
    assertTrue(
        cluster.notes(BatchLogEvent.RUN_UNKNOWN).isEmpty(), "the next owner did not know the run");
    cluster.run(200);
    assertFalse(runs());
  }
}
