package org.fescuehook.logic.batch;

import static java.util.stream.Collectors.toSet;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a job that has nothing running for over 3 s in an idle fleet since its owner was
 * replaced. The next owner took it for possible that executors were failing in a wave, and looked
 * for 6 s for one, although hardly anything had failed.
 */
class LastAttemptAfterTakeoverTest {

  private static final long MAX_IDLE_MILLIS = 3000;

  /** Longer than failures count as part of a wave. */
  private static final long NO_WAVE_MILLIS = 7000;

  private static final long DOWN_MILLIS = 500;

  private final BatchCluster cluster =
      new BatchCluster(1, 16, 1, TestFixtures.configuration(), TestFixtures.AS_DEPLOYED);

  private long running(String job) {
    return cluster.executors.values().stream()
        .flatMap(executor -> executor.running().stream())
        .filter(run -> run.task().job().equals(job))
        .count();
  }

  private Set<ExecutorId> executorsOf(String job) {
    return cluster.executors.values().stream()
        .filter(
            executor -> executor.running().stream().anyMatch(run -> run.task().job().equals(job)))
        .map(executor -> executor.profile().id())
        .collect(toSet());
  }

  private void replaceOwner() {
    cluster.restart(cluster.owner().orElseThrow().id, DOWN_MILLIS);
    cluster.run(DOWN_MILLIS);
    cluster.awaitOwner();
  }

  @Test
  void startsWhileTheOnlyProvenExecutorIsBusy() {
    cluster.awaitOwner();
    cluster.run(NO_WAVE_MILLIS);
    String job = cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(1, 8, 1000)));
    cluster.work.failRuns(run -> run.task().job().equals(job) && run.number() == 1);
    cluster.runUntil("the first run", 1000, () -> running(job) > 0);
    cluster.runUntil("its failure", 2000, () -> running(job) == 0);
    cluster.run(BatchCluster.TICK_MILLIS);
    replaceOwner();
    String brief = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 4, 400)));
    String lasting = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 4, 60_000)));
    cluster.runUntil("other runs", 300, () -> running(brief) + running(lasting) == 2);
    assertEquals(executorsOf(brief), executorsOf(lasting));
    cluster.runUntil("the last attempt", MAX_IDLE_MILLIS, () -> running(job) == 1);
  }
}
