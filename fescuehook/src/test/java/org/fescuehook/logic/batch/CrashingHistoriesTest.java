package org.fescuehook.logic.batch;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random histories in which some tasks crash the executors that start them, at once or after a
 * while, together with executors that crash by themselves and the faults of {@link
 * RandomBatchHistoriesTest}. Such a task must not be started too often, and no job may be shown as
 * failed unless two executors have crashed under one of its tasks.
 */
class CrashingHistoriesTest {

  private static final int HISTORIES = 60;
  private static final long DAY_MILLIS = 30_000;

  /**
   * Times from a start to the crash, in milliseconds; 0 is a crash before the start is answered.
   */
  private static final long[] CRASH_AFTER_MILLIS = {0, 20, 20, 700, 3000};

  private final Set<String> crashing = new HashSet<>();
  private boolean idsKept;

  @Test
  void noHistoryOfCrashesBreaksAPromise() {
    Histories.playAll(HISTORIES, this::play);
  }

  /** A crash is recognised by the reported start time of the executor, as its id stays the same. */
  @Test
  void noHistoryOfCrashesBreaksAPromiseWhereExecutorsKeepTheirIds() {
    idsKept = true;
    Histories.playAll(HISTORIES, this::play);
  }

  /**
   * Seed 242: starts of gang members that reached no executor counted as losses. Seed 31: a task
   * was placed beside a crashing one five times in a row. Seed 2026: a start that ended with its
   * gang was not counted. Seed 2678: members were blamed for crashes that came after their gang was
   * broken.
   */
  @ParameterizedTest
  @ValueSource(longs = {31, 242, 2026, 2678})
  void aSeedThatOnceBrokeAPromisePasses(long seed) {
    Histories.play(seed, this::play);
  }

  /**
   * Executors crash in five waves. A task is placed on idle executors that have crashed but are
   * still listed; four starts cannot be sent, as nothing listens there, and must not be counted.
   */
  @Test
  void startsSentToExecutorsThatAreDownDoNotFailATask() {
    Histories.play(10_851, this::play);
  }

  private void play(long seed, List<String> faults) {
    crashing.clear();
    BatchCluster cluster = new BatchCluster(4, 12, seed);
    if (idsKept) {
      cluster.crashes.reportStartTimes();
      cluster.crashes.keepIds(true);
    }
    RandomJobs.schedule(cluster);
    for (int i = 0; i < 3; i++) {
      cluster.in(2000L + cluster.random.nextInt(20_000), () -> submitCrashing(cluster));
    }
    int count = 1 + cluster.random.nextInt(5);
    for (int i = 0; i < count; i++) {
      long at = 2000L + cluster.random.nextInt(25_000);
      cluster.in(at, () -> faults.add(fault(cluster)));
    }
    cluster.run(DAY_MILLIS);
    cluster.run(60_000);
    cluster.awaitOwner();
    cluster.run(2000);
    RandomJobs.checkWithCrashes(cluster, crashing);
  }

  private void submitCrashing(BatchCluster cluster) {
    if (cluster.owner().isEmpty()) {
      // No VM accepts the job, and the next job would get the same id.
      return;
    }
    int tasks = 1 + cluster.random.nextInt(4);
    long millis = 1000L + cluster.random.nextInt(4000);
    boolean gang = cluster.random.nextInt(4) == 0;
    String job =
        cluster.submit(
            cluster.random.nextBoolean() ? BatchCluster.URGENT : BatchCluster.NORMAL,
            Jobs.of(gang ? Jobs.gang(tasks, 2, millis) : Jobs.tasks(tasks, 2, millis)));
    long after = CRASH_AFTER_MILLIS[cluster.random.nextInt(CRASH_AFTER_MILLIS.length)];
    int crashingCount = 1 + cluster.random.nextInt(tasks);
    for (int index = 0; index < crashingCount; index++) {
      cluster.work.crashingTasks.crashAfter(
          new TaskName(job, 0, 0, index), Math.min(after, millis - 100));
    }
    crashing.add(job);
  }

  private static String fault(BatchCluster cluster) {
    if (cluster.random.nextInt(3) != 0) {
      return RandomBatchHistoriesTest.fault(cluster);
    }
    List<ExecutorId> up = List.copyOf(cluster.executors.keySet());
    long away = 500L + cluster.random.nextInt(12_000);
    int first = cluster.random.nextInt(up.size());
    List<ExecutorId> crashed = up.subList(first, Math.min(up.size(), first + 3));
    crashed.forEach(id -> cluster.crashes.restart(id, away));
    return crashed + " crashed at " + cluster.nowMillis() + " for " + away;
  }
}
