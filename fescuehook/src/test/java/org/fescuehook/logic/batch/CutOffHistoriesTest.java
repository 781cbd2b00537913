package org.fescuehook.logic.batch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Random histories in which executors are cut off again and again and run on, so that the same
 * tasks lose them several times. Some of them crash as well, during a cut or by a task. No job may
 * be shown as failed unless two executors have crashed under one of its tasks, a task that crashes
 * executors must not be started too often, and all jobs end.
 */
class CutOffHistoriesTest {

  private static final int HISTORIES = 60;
  private static final long DAY_MILLIS = 45_000;
  private static final int FIRST_CUT_MILLIS = 3000;

  /** Time without a heartbeat after which the list drops an executor's entry. */
  private static final long LISTED_MILLIS = 4500;

  private final Set<String> crashing = new HashSet<>();

  /** A job whose executors are cut off more often than others; empty if none was accepted. */
  private Optional<String> pursued = Optional.empty();

  /** Whether the owner is killed during some of the cuts. */
  private boolean takeovers;

  @Test
  void noHistoryOfCutsFailsAJobWithoutCause() {
    Histories.playAll(HISTORIES, this::play);
  }

  @Test
  void noHistoryOfCutsBesideTakeoversFailsAJobWithoutCause() {
    takeovers = true;
    Histories.playAll(HISTORIES, this::play);
  }

  private void play(long seed, List<String> faults) {
    crashing.clear();
    pursued = Optional.empty();
    BatchCluster cluster = new BatchCluster(3, 5, seed);
    cluster.crashes.reportStartTimes();
    cluster.crashes.keepIds(true);
    for (int i = 0; i < 8; i++) {
      cluster.in(1500 + cluster.random.nextInt(8000), () -> submit(cluster));
    }
    cluster.in(FIRST_CUT_MILLIS, () -> submitCrashing(cluster));
    cluster.in(1500, () -> submitPursued(cluster));
    long at = FIRST_CUT_MILLIS;
    while (at < DAY_MILLIS) {
      cluster.in(at, () -> faults.add(cut(cluster)));
      at += 3000 + cluster.random.nextInt(6000);
    }
    cluster.run(DAY_MILLIS);
    cluster.run(65_000);
    cluster.awaitOwner();
    cluster.run(2000);
    RandomJobs.checkWithCrashes(cluster, crashing);
  }

  private static void submit(BatchCluster cluster) {
    if (cluster.owner().isEmpty()) {
      return;
    }
    int tasks = 1 + cluster.random.nextInt(4);
    long millis = 4000L + cluster.random.nextInt(6000);
    boolean gang = cluster.random.nextInt(4) == 0;
    cluster.submit(
        cluster.random.nextBoolean() ? BatchCluster.URGENT : BatchCluster.NORMAL,
        Jobs.of(gang ? Jobs.gang(tasks, 2, millis) : Jobs.tasks(tasks, 1, millis)));
  }

  private void submitPursued(BatchCluster cluster) {
    if (cluster.owner().isPresent()) {
      pursued = Optional.of(cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 9000))));
    }
  }

  private void submitCrashing(BatchCluster cluster) {
    if (cluster.owner().isEmpty()) {
      return;
    }
    String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, 4000)));
    long after = new long[] {0, 20, 1500}[cluster.random.nextInt(3)];
    cluster.work.crashingTasks.crashAfter(new TaskName(job, 0, 0, 0), after);
    crashing.add(job);
  }

  /** Cuts off an executor, if possible one with runs, until its leases have probably expired. */
  private String cut(BatchCluster cluster) {
    List<ExecutorId> reachable =
        cluster.crashes.up().stream().filter(id -> !cluster.faults.silent.contains(id)).toList();
    if (reachable.isEmpty()) {
      return "no executor is reachable";
    }
    ExecutorId id = chooseExecutor(cluster, reachable);
    boolean brief = cluster.random.nextInt(3) > 0;
    long length =
        brief ? 5500L + cluster.random.nextInt(2500) : 8000L + cluster.random.nextInt(25_000);
    boolean fromStore = cluster.random.nextInt(3) == 0;
    cluster.faults.silent.add(id);
    if (fromStore && length > LISTED_MILLIS) {
      cluster.in(LISTED_MILLIS, () -> cluster.unlist(id));
    }
    String description = id + " cut off at " + cluster.nowMillis() + " for " + length;
    if (cluster.random.nextInt(6) == 0) {
      cluster.in(cluster.random.nextInt(4000), () -> crash(cluster, id));
      description += ", crashes";
    }
    cluster.in(length, () -> reconnect(cluster, id));
    if (takeovers && cluster.random.nextInt(3) == 0) {
      long after = cluster.random.nextInt((int) length + 3000);
      cluster.in(after, () -> cluster.owner().ifPresent(owner -> cluster.restart(owner.id, 1500)));
      description += ", owner killed after " + after;
    }
    return description + (fromStore ? ", not listed" : "");
  }

  /** Returns the executor of the pursued job most of the time, and else one with runs, if any. */
  private ExecutorId chooseExecutor(BatchCluster cluster, List<ExecutorId> reachable) {
    List<ExecutorId> ofPursued =
        reachable.stream()
            .filter(
                id ->
                    cluster.executors.get(id).running().stream()
                        .anyMatch(run -> pursued.equals(Optional.of(run.task().job()))))
            .toList();
    List<ExecutorId> working =
        reachable.stream().filter(id -> !cluster.executors.get(id).running().isEmpty()).toList();
    List<ExecutorId> chosen =
        !ofPursued.isEmpty() && cluster.random.nextInt(4) > 0
            ? ofPursued
            : working.isEmpty() ? reachable : working;
    return chosen.get(cluster.random.nextInt(chosen.size()));
  }

  private static void crash(BatchCluster cluster, ExecutorId id) {
    if (cluster.executors.containsKey(id)) {
      cluster.crashes.restartWithSameId(id, 3200, -cluster.nowMillis());
    }
  }

  private static void reconnect(BatchCluster cluster, ExecutorId id) {
    cluster.faults.silent.remove(id);
    if (cluster.executors.containsKey(id)) {
      cluster.list(id);
    }
  }
}
