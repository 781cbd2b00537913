package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.TaskRun;
import org.junit.jupiter.api.Test;

/**
 * Random histories of two or three pools of unlike size, one of which is full of urgent or lasting
 * work. A job of a pool that is mostly idle must start within 3 s, as executors see it, and no
 * history may break the promises of {@link RandomBatchHistoriesTest}.
 */
class SeveralPoolsHistoriesTest {

  private static final int HISTORIES = 60;
  private static final long DAY_MILLIS = 30_000;

  /** How long a job may wait while most of its pool is idle. */
  private static final long IDLE_MILLIS = 3000;

  /** Time after a takeover after which the new owner has to use what is idle. */
  private static final long CALM_MILLIS = 7000;

  private static final long CHECK_MILLIS = 100;

  /** A pool and the number of its executors. */
  private record Pool(String name, int executors) {
    String queue(String kind) {
      return kind + "-" + name;
    }
  }

  private final List<Pool> pools = new ArrayList<>();
  private final Map<String, Pool> poolOfJob = new HashMap<>();
  private final Map<String, Long> idleSince = new HashMap<>();
  private long disturbedAt;

  @Test
  void noHistoryLetsAnIdlePoolWaitForAFullOne() {
    Histories.playAll(HISTORIES, this::play);
  }

  private void play(long seed, List<String> faults) {
    pools.clear();
    poolOfJob.clear();
    idleSince.clear();
    disturbedAt = 0;
    pools.add(new Pool("large", 5 + Math.floorMod(seed, 8)));
    pools.add(new Pool("small", 1 + Math.floorMod(seed, 3)));
    if (seed % 2 == 0) {
      pools.add(new Pool("third", 3));
    }
    BatchCluster cluster = new BatchCluster(3, 0, seed, configuration());
    for (Pool pool : pools) {
      for (int i = 0; i < pool.executors(); i++) {
        cluster.addExecutor(
            TestFixtures.ofPool(
                pool.name() + "-" + i, pool.name() + "-rack-" + i / 2, pool.name()));
      }
    }
    cluster.awaitOwner();
    cluster.run(500);
    Pool full = pools.get(cluster.random.nextInt(pools.size()));
    faults.add("pools " + pools + ", full is " + full.name());
    fill(cluster, full);
    pools.stream().filter(pool -> !pool.equals(full)).forEach(pool -> schedule(cluster, pool));
    cluster.in(2000, () -> check(cluster));
    if (cluster.random.nextInt(3) == 0) {
      long at = 5000L + cluster.random.nextInt(10_000);
      cluster.in(at, () -> loseOwner(cluster, faults));
    }
    cluster.run(DAY_MILLIS);
  }

  private BatchConfiguration configuration() {
    Map<String, JobQueue> queues = new HashMap<>();
    for (Pool pool : pools) {
      for (int priority = 0; priority <= 2; priority++) {
        String name = pool.queue(String.valueOf(priority));
        queues.put(name, new JobQueue(name, pool.name(), priority, 3, 3, 1000, false, false));
      }
    }
    return new BatchConfiguration(1, queues, TestFixtures.configuration().organisations());
  }

  /** Fills a pool with urgent work that outlasts the history. */
  private static void fill(BatchCluster cluster, Pool pool) {
    int tasks = pool.executors() * TestFixtures.CAPACITY.accelerators();
    boolean lasting = cluster.random.nextBoolean();
    cluster.submit(
        pool.queue("0"),
        Jobs.of(lasting ? Jobs.longRunning(tasks, 1, 1, 0) : Jobs.tasks(tasks, 1, 2 * DAY_MILLIS)));
  }

  /** Schedules short jobs that leave most of a pool idle. */
  private void schedule(BatchCluster cluster, Pool pool) {
    for (long at = 2000; at < DAY_MILLIS - 6000; at += 2000 + cluster.random.nextInt(2000)) {
      cluster.in(at, () -> submit(cluster, pool));
    }
  }

  private void submit(BatchCluster cluster, Pool pool) {
    if (cluster.owner().isEmpty()) {
      return;
    }
    int tasks = 1 + cluster.random.nextInt(2);
    long millis = 300L + cluster.random.nextInt(1200);
    boolean gang = cluster.random.nextInt(3) == 0;
    String queue = pool.queue(String.valueOf(1 + cluster.random.nextInt(2)));
    String job =
        cluster.submit(
            queue, Jobs.of(gang ? Jobs.gang(tasks, 1, millis) : Jobs.tasks(tasks, 1, millis)));
    poolOfJob.put(job, pool);
  }

  private void loseOwner(BatchCluster cluster, List<String> faults) {
    cluster.owner().ifPresent(owner -> cluster.restart(owner.id, 1000));
    disturbedAt = cluster.nowMillis();
    faults.add("owner killed at " + disturbedAt);
  }

  private void check(BatchCluster cluster) {
    poolOfJob.forEach((job, pool) -> check(cluster, job, pool));
    cluster.in(CHECK_MILLIS, () -> check(cluster));
  }

  private void check(BatchCluster cluster, String job, Pool pool) {
    boolean calm = disturbedAt == 0 || cluster.nowMillis() - disturbedAt > CALM_MILLIS;
    boolean accepted = cluster.submissions.get(job) instanceof CallAnswer.Accepted;
    boolean mayWait = !accepted || started(cluster, job);
    if (!calm || mayWait || !mostlyIdle(cluster, pool)) {
      idleSince.remove(job);
      return;
    }
    long since = idleSince.computeIfAbsent(job, key -> cluster.nowMillis());
    assertTrue(
        cluster.nowMillis() - since <= IDLE_MILLIS,
        () -> job + " has not started since " + since + " in an idle pool " + pool);
  }

  private static boolean started(BatchCluster cluster, String job) {
    return cluster.work.starts().stream().anyMatch(run -> run.task().job().equals(job));
  }

  /** Tells whether less than half of a pool is in use, by what its executors run. */
  private static boolean mostlyIdle(BatchCluster cluster, Pool pool) {
    ResourceVector total = ResourceVector.NONE;
    ResourceVector used = ResourceVector.NONE;
    for (FakeExecutor executor : cluster.executors.values()) {
      if (executor.profile().pool().equals(pool.name())) {
        total = total.plus(executor.profile().capacity());
        for (TaskRun run : executor.running()) {
          used = used.plus(cluster.work.demand(run.task()));
        }
      }
    }
    return total.contains(used.times(2));
  }
}
