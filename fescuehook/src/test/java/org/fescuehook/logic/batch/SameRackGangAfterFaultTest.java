package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.model.batch.BatchStep;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gang that prefers one rack and has nothing running for over 3 s in an idle
 * fleet: the requirement for its executors is lowered only until it fits somewhere, whereas it
 * waits until it fits into a rack.
 */
class SameRackGangAfterFaultTest {

  private static final int RACKS = 4;
  private static final int RACK_SIZE = 6;
  private static final int FAULTY_IN_RACK = 3;

  /** Enough to occupy most of the fleet, so that runs fail on all faulty executors. */
  private static final int JOBS_AT_ONCE = 3;

  private static final long FAULT_MILLIS = 4000;

  /** The faults are over for longer than they count, and the doubts have decayed to about 50 %. */
  private static final long REST_MILLIS = 7000;

  private static final long MAX_IDLE_MILLIS = 3000;

  private final BatchCluster cluster =
      new BatchCluster(1, 0, 1, TestFixtures.configuration(), TestFixtures.AS_DEPLOYED);

  private long running(String job) {
    return cluster.executors.values().stream()
        .flatMap(executor -> executor.running().stream())
        .filter(run -> run.task().job().equals(job))
        .count();
  }

  private void failPartOfEachRack() {
    for (int rack = 0; rack < RACKS; rack++) {
      for (int i = 0; i < RACK_SIZE; i++) {
        cluster.addExecutor("e" + rack + i, "r" + rack);
      }
    }
    cluster.awaitOwner();
    cluster.run(7000);
    cluster.executors.values().stream()
        .map(executor -> executor.profile().id())
        .filter(id -> id.value().charAt(2) - '0' < FAULTY_IN_RACK)
        .forEach(cluster.work::failAllOn);
    List<String> jobs = new ArrayList<>();
    List<String> trials = new ArrayList<>();
    for (long time = 0; time < FAULT_MILLIS; time += 50) {
      for (int i = 0; i < JOBS_AT_ONCE; i++) {
        jobs.add(cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 8, 300))));
        trials.add(cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(1, 1, 300))));
      }
      cluster.run(50);
    }
    // No further run shows that the executors are sound again.
    for (String job : jobs) {
      cluster.call(new BatchCall.Cancel(BatchCluster.URGENT, BatchCluster.KEY, job));
    }
    for (String job : trials) {
      cluster.call(new BatchCall.Cancel(BatchCluster.BULK, BatchCluster.KEY, job));
    }
    cluster.executors.keySet().forEach(cluster.work::restore);
    cluster.run(REST_MILLIS);
  }

  private long idleMillis(BatchStep step) {
    failPartOfEachRack();
    long submitted = cluster.nowMillis();
    String job = cluster.submit(BatchCluster.BULK, Jobs.of(step));
    cluster.runUntil("the gang", 30_000, () -> running(job) == step.count());
    return cluster.nowMillis() - submitted;
  }

  @Test
  void aGangWithoutPreferenceStartsSoon() {
    long idle = idleMillis(Jobs.gang(5, 8, 6000));
    assertTrue(idle <= MAX_IDLE_MILLIS, () -> "idle for " + idle + " ms");
  }

  @Test
  void aGangThatPrefersOneRackStartsSoon() {
    BatchStep.PlacementRule oneRack =
        new BatchStep.PlacementRule(true, Optional.empty(), Optional.empty(), 0);
    long idle = idleMillis(Jobs.placed(Jobs.gang(5, 8, 6000), oneRack));
    assertTrue(idle <= MAX_IDLE_MILLIS, () -> "idle for " + idle + " ms");
  }
}
