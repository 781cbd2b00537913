package org.fescuehook.logic.batch;

import java.util.List;
import java.util.Set;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Random histories of jobs with placement rules: labels, preferred racks, gangs in one rack, and
 * limits on the tasks of a step on one executor. {@link PlacementChecks} checks each start by what
 * runs on the executor. Each kind of trouble comes several times in a history.
 */
class PlacementHistoriesTest {

  private static final int HISTORIES = 30;
  private static final long DAY_MILLIS = 30_000;
  private static final String OTHER_POOL = "other";

  private enum Trouble {
    NONE,
    CRASHES,
    SERIES_OF_CRASHES,
    RESTARTS_WITH_SAME_ID,
    CRASHES_BESIDE_TAKEOVER,
    CRASHES_BESIDE_SLOW_STORE,
    LEAVING,
    ADVICE,
    CONFIGURATIONS,
    MIXED
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void noStartBreaksAPlacementRule(Trouble trouble) {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed, trouble, faults));
  }

  private static void play(long seed, Trouble trouble, List<String> faults) {
    BatchCluster cluster = new BatchCluster(3, 8, seed);
    cluster.crashes.reportStartTimes();
    scheduleJobs(cluster, trouble);
    for (int i = 0; i < 4; i++) {
      long at = 3000L + cluster.random.nextInt(20_000);
      cluster.in(at, () -> faults.add(cause(cluster, trouble) + " at " + cluster.nowMillis()));
    }
    cluster.run(DAY_MILLIS);
    if (trouble == Trouble.CONFIGURATIONS) {
      usePool(cluster, TestFixtures.POOL);
    }
    cluster.run(90_000);
    cluster.awaitOwner();
    cluster.run(2000);
    RandomJobs.checkWithCrashes(cluster, Set.of());
  }

  private static void scheduleJobs(BatchCluster cluster, Trouble trouble) {
    if (trouble != Trouble.ADVICE) {
      PlacedJobs.schedule(cluster, BatchCluster.NORMAL, BatchCluster.URGENT, BatchCluster.BULK);
      return;
    }
    // From now on the executors reject every start without a ticket.
    cluster.work.advice.allowOnly(Set.copyOf(cluster.executors.keySet()));
    cluster.crashes.keepIds(true);
    PlacedJobs.schedule(cluster, TestFixtures.ADVISED);
  }

  private static String cause(BatchCluster cluster, Trouble trouble) {
    long away = cluster.random.nextBoolean() ? 300 : 3000;
    return switch (trouble) {
      case NONE -> "nothing";
      case CRASHES, ADVICE -> crash(cluster, away);
      case SERIES_OF_CRASHES -> {
        cluster.in(2500, () -> crash(cluster, away));
        yield crash(cluster, away) + ", and again after 2.5 s";
      }
      case RESTARTS_WITH_SAME_ID -> {
        cluster.crashes.keepIds(true);
        yield "under the same id: " + crash(cluster, away);
      }
      case CRASHES_BESIDE_TAKEOVER -> {
        long after = cluster.random.nextInt(1500);
        cluster.in(after, () -> killOwner(cluster));
        yield crash(cluster, away) + ", owner killed after " + after;
      }
      case CRASHES_BESIDE_SLOW_STORE -> {
        cluster.faults.storeDelayMillis = 600;
        cluster.in(4000, () -> cluster.faults.storeDelayMillis = 4);
        yield crash(cluster, away) + " in a slow store";
      }
      case LEAVING -> replaceLeaving(cluster);
      case CONFIGURATIONS -> changePool(cluster);
      case MIXED ->
          cluster.random.nextBoolean()
              ? RandomBatchHistoriesTest.fault(cluster)
              : crash(cluster, away);
    };
  }

  private static String crash(BatchCluster cluster, long away) {
    List<ExecutorId> up = cluster.crashes.up();
    int count = Math.min(up.size(), 1 + cluster.random.nextInt(5));
    int first = cluster.random.nextInt(up.size() - count + 1);
    List<ExecutorId> crashed = up.subList(first, first + count);
    crashed.forEach(id -> cluster.crashes.restart(id, away));
    return crashed + " crashed for " + away;
  }

  private static void killOwner(BatchCluster cluster) {
    cluster.owner().map(owner -> owner.id).ifPresent((VmId id) -> cluster.restart(id, 2000));
  }

  /** Lets two executors leave after 4 s, and adds two others to their racks. */
  private static String replaceLeaving(BatchCluster cluster) {
    List<ExecutorId> leaving =
        cluster.executors.values().stream()
            .map(FakeExecutor::profile)
            .filter(profile -> !profile.leaving())
            .map(ExecutorProfile::id)
            .limit(2)
            .toList();
    for (ExecutorId id : leaving) {
      String rack = cluster.executors.get(id).profile().rack().value();
      cluster.addExecutor("next-" + cluster.nowMillis() + "-" + id.value(), rack);
      cluster.leave(id, 4000);
      cluster.in(4000, () -> cluster.crash(id));
    }
    return leaving + " leave";
  }

  /** Moves all queues to another pool while the store is slow, and back after a while. */
  private static String changePool(BatchCluster cluster) {
    String added = "other-" + cluster.nowMillis();
    cluster.addExecutor(TestFixtures.ofPool(added + "-0", "r0", OTHER_POOL));
    cluster.addExecutor(TestFixtures.ofPool(added + "-1", "r1", OTHER_POOL));
    cluster.faults.appendMillis = 1500;
    usePool(cluster, OTHER_POOL);
    cluster.in(
        4000,
        () -> {
          cluster.faults.appendMillis = 0;
          usePool(cluster, TestFixtures.POOL);
        });
    return "queues moved to another pool";
  }

  private static void usePool(BatchCluster cluster, String pool) {
    cluster.configure(TestFixtures.withPool(cluster.nowMillis(), pool));
  }
}
