package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;
import org.junit.jupiter.api.Test;

/** Starts at executors that have crashed but are still listed, where nothing listens. */
class UnsentStartTest {

  private static final Optional<CallAnswer> COMPLETED =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));

  /** Longer than any test of this class. */
  private static final long DOWN_MILLIS = 60_000;

  /** Shortest remaining time of a lease. */
  private static final long LEASE_MILLIS = 5000;

  private final BatchCluster cluster = new BatchCluster(2, 8, 1);

  private List<ExecutorId> placements() {
    return cluster.notes(BatchLogEvent.RUN_PLACED).stream()
        .map(note -> ((Incarnation) note.arguments().get(1)).id())
        .toList();
  }

  private void crashAllBut(ExecutorId spared) {
    cluster.crashes.up().stream()
        .filter(id -> !id.equals(spared))
        .forEach(id -> cluster.crashes.restart(id, DOWN_MILLIS));
  }

  @Test
  void aTaskIsPlannedAgainAtOnceUntilItFindsAnExecutorThatListens() {
    cluster.awaitOwner();
    cluster.run(500);
    crashAllBut(new ExecutorId("e7"));
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 1000)));
    cluster.runUntil("the start", 1000, () -> cluster.work.starts().size() == 1);
    assertTrue(placements().size() > 1, "no start was sent to an executor that was down");
    cluster.runUntil("the end", 2000, () -> cluster.status(job).equals(COMPLETED));
  }

  /** Without a backoff, executors that keep answering polls would be tried again continuously. */
  @Test
  void noExecutorIsTriedAgainAtOnce() {
    cluster.awaitOwner();
    cluster.run(500);
    cluster.faults.startsRefused = true;
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 1000)));
    cluster.run(1500);
    assertEquals(8, placements().size());
    assertEquals(8, placements().stream().distinct().count());
  }

  /**
   * Guards against a gang that waits until a lease expires for a member whose start was never sent,
   * because the member was stopped before the connection for its start timed out.
   */
  @Test
  void aGangIsPlannedAgainOnceTheConnectionForTheStartOfAStoppedMemberTimesOut() {
    cluster.awaitOwner();
    cluster.run(500);
    ExecutorId cutOff = new ExecutorId("e1");
    cluster.vms.keySet().forEach(vm -> cluster.faults.cutFromExecutors.put(vm, Set.of(cutOff)));
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(2, 8, 1000)));
    cluster.run(100);
    assertTrue(placements().contains(cutOff), () -> "placed on " + placements());
    placements().stream()
        .filter(executor -> !executor.equals(cutOff))
        .forEach(executor -> cluster.leave(executor, 500));
    cluster.runUntil("the end", 2500, () -> cluster.status(job).equals(COMPLETED));
  }

  /** After three losses only two more runs are allowed; the executors of these starts are down. */
  @Test
  void aTaskThatLostThreeExecutorsIsNotGivenUpForStartsThatReachedNoExecutor() {
    cluster.awaitOwner();
    cluster.run(200);
    String job = submitAndLoseThreeExecutors();
    cluster.crashes.up().forEach(id -> cluster.crashes.restart(id, 8000));
    cluster.runUntil("the end", 20_000, () -> cluster.status(job).equals(COMPLETED));
    assertTrue(placements().size() > 5, "too few starts were sent to executors that were down");
    assertEquals(4, cluster.work.starts().size());
  }

  /** The executors of the next runs begin to leave while the placements are being stored. */
  @Test
  void aTaskThatLostThreeExecutorsIsNotGivenUpForPlacementsThatWereGivenUp() {
    cluster.awaitOwner();
    cluster.run(200);
    String job = submitAndLoseThreeExecutors();
    cluster.faults.appendMillis = 400;
    for (int placement = 4; placement <= 6; placement++) {
      int placed = placement;
      cluster.runUntil("a placement", 15_000, () -> placements().size() == placed);
      cluster.leave(placements().getLast(), 60_000);
    }
    cluster.faults.appendMillis = 0;
    cluster.runUntil("the end", 20_000, () -> cluster.status(job).equals(COMPLETED));
    assertEquals(4, cluster.work.starts().size());
  }

  private String submitAndLoseThreeExecutors() {
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 6000)));
    for (int crash = 1; crash <= 3; crash++) {
      int starts = crash;
      cluster.runUntil("a start", 15_000, () -> cluster.work.starts().size() >= starts);
      cluster.run(3000);
      cluster.crashes.restart(placements().getLast(), 3000);
    }
    return job;
  }

  /** The first order may have been carried out, although the executor of its repeat is down. */
  @Test
  void aTaskWhoseStartMayHaveArrivedWaitsForTheLease() {
    cluster.awaitOwner();
    cluster.run(500);
    List<ExecutorId> all = cluster.crashes.up();
    cluster.faults.silent.addAll(all);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 1000)));
    cluster.runUntil("the placement", 500, () -> placements().size() == 1);
    cluster.run(100);
    cluster.crashes.restart(placements().getFirst(), DOWN_MILLIS);
    cluster.faults.silent.clear();
    cluster.run(LEASE_MILLIS);
    assertEquals(1, placements().size());
    cluster.runUntil("the next placement", 5000, () -> placements().size() == 2);
  }
}
