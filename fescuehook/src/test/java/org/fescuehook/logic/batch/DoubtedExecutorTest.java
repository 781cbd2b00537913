package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/** Guards against gangs on executors whose crashes or rejected starts have shown a fault. */
class DoubtedExecutorTest {

  private final BatchCluster cluster =
      new BatchCluster(
          1,
          4,
          1,
          TestFixtures.configuration(),
          new SchedulingPreferences(false, false, true, false, false, false, false));

  private List<Object> causes() {
    return cluster.notes(BatchLogEvent.EXECUTOR_DOUBTED).stream()
        .map(note -> note.arguments().get(1))
        .toList();
  }

  private FakeExecutor executorOf(String job) {
    return cluster.executors.values().stream()
        .filter(executor -> runs(executor, job))
        .findFirst()
        .orElseThrow();
  }

  private static boolean runs(FakeExecutor executor, String job) {
    return executor.running().stream().anyMatch(run -> run.task().job().equals(job));
  }

  /** The gang of four takes whole executors, of which one has crashed. */
  @Test
  void aGangWaitsUntilASingleTaskHasTriedAnExecutorThatCrashed() {
    cluster.awaitOwner();
    cluster.run(200);
    String single = cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(1, 1, 1500)));
    cluster.run(1000);
    cluster.crashes.restart(executorOf(single).profile().id(), 500);
    cluster.runUntil("the doubt", 3000, () -> causes().contains("crashed"));
    cluster.run(600);
    String gang = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.gang(4, 8, 3000)));
    cluster.run(300);
    assertTrue(cluster.executors.values().stream().noneMatch(executor -> runs(executor, gang)));
    cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.checkpointed(1, 1, 500)));
    cluster.runUntil(
        "the trust", 4000, () -> !cluster.notes(BatchLogEvent.EXECUTOR_TRUSTED).isEmpty());
    cluster.runUntil(
        "the gang",
        4000,
        () -> cluster.executors.values().stream().allMatch(executor -> runs(executor, gang)));
  }

  @Test
  void startsThatCannotBeSentAreEvidence() {
    cluster.awaitOwner();
    cluster.run(200);
    cluster.faults.startsRefused = true;
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 1000)));
    cluster.runUntil("a doubt", 3000, () -> !causes().isEmpty());
    assertTrue(causes().stream().allMatch("unanswered"::equals), () -> causes().toString());
  }
}
