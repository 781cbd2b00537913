package org.fescuehook.logic.batch;

import java.util.List;
import java.util.Set;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Random histories in which operators evacuate failure domains for short and long times, one after
 * the other, at the same time, and all at once. {@link ClusterEvacuations} checks each start order;
 * at the end all domains are given back and all jobs must end.
 */
class EvacuationHistoriesTest {

  private static final int HISTORIES = 25;
  private static final long DAY_MILLIS = 30_000;
  private static final int DOMAINS = 3;
  private static final int EXECUTORS_PER_DOMAIN = 3;
  private static final int EVACUATIONS = 6;

  private enum Trouble {
    NONE,
    ALL_DOMAINS,
    TAKEOVER,
    SLOW_STORE,
    SILENT_STORE,
    LOSSY_STORE,
    LATE_ORDERS,
    CRASHES,
    RESTARTS_WITH_SAME_ID,
    MIXED
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void noTaskStartsInAnEvacuatedFailureDomainAndAllJobsEnd(Trouble trouble) {
    Histories.playAll(HISTORIES, (seed, faults) -> play(seed, trouble, faults));
  }

  private static void play(long seed, Trouble trouble, List<String> faults) {
    BatchCluster cluster = new BatchCluster(3, 0, seed);
    for (int i = 0; i < DOMAINS * EXECUTORS_PER_DOMAIN; i++) {
      cluster.addExecutor(
          TestFixtures.inDomain(TestFixtures.executor("e" + i, "r" + i % DOMAINS), domain(i)));
    }
    if (trouble == Trouble.RESTARTS_WITH_SAME_ID) {
      cluster.crashes.reportStartTimes();
      cluster.crashes.keepIds(true);
    }
    PlacedJobs.schedule(cluster, BatchCluster.NORMAL, BatchCluster.URGENT, BatchCluster.BULK);
    for (int i = 0; i < EVACUATIONS; i++) {
      long at = 1500L + cluster.random.nextInt(24_000);
      cluster.in(at, () -> faults.add(evacuate(cluster, trouble) + " at " + cluster.nowMillis()));
    }
    cluster.run(DAY_MILLIS);
    cluster.evacuations.giveBackAll();
    cluster.run(90_000);
    cluster.awaitOwner();
    cluster.run(2000);
    RandomJobs.checkWithCrashes(cluster, Set.of());
  }

  private static FailureDomain domain(int number) {
    return new FailureDomain("domain-" + number % DOMAINS);
  }

  /** Evacuates a failure domain, or all of them, with other trouble around its begin or its end. */
  private static String evacuate(BatchCluster cluster, Trouble trouble) {
    long length = cluster.random.nextBoolean() ? 300 : 2000L + cluster.random.nextInt(9000);
    long offset = cluster.random.nextInt(1500);
    long troubleIn = cluster.random.nextBoolean() ? offset : Math.max(0, length - offset);
    int first = cluster.random.nextInt(DOMAINS);
    int count = trouble == Trouble.ALL_DOMAINS ? DOMAINS : 1;
    for (int i = first; i < first + count; i++) {
      FailureDomain domain = domain(i);
      cluster.evacuations.evacuate(domain);
      cluster.in(length, () -> cluster.evacuations.giveBack(domain));
    }
    cluster.in(troubleIn, () -> cause(cluster, trouble));
    return count + " domains from " + first + " evacuated for " + length;
  }

  private static void cause(BatchCluster cluster, Trouble trouble) {
    long length = 1000L + cluster.random.nextInt(5000);
    ClusterFaults faults = cluster.faults;
    switch (trouble) {
      case NONE, ALL_DOMAINS -> {}
      case TAKEOVER ->
          cluster
              .owner()
              .map(owner -> owner.id)
              .ifPresent((VmId id) -> cluster.restart(id, length));
      case SLOW_STORE -> {
        faults.storeDelayMillis = 600;
        cluster.in(length, () -> faults.storeDelayMillis = 4);
      }
      case SILENT_STORE -> {
        faults.storeDown = true;
        cluster.in(length, () -> faults.storeDown = false);
      }
      case LOSSY_STORE -> {
        faults.lostAnswerRate = 0.35;
        cluster.in(length, () -> faults.lostAnswerRate = 0);
      }
      case LATE_ORDERS -> {
        faults.lateOrderRate = 0.2;
        cluster.in(length, () -> faults.lateOrderRate = 0);
      }
      case CRASHES, RESTARTS_WITH_SAME_ID ->
          cluster.crashes.up().stream().limit(2).forEach(id -> cluster.crashes.restart(id, length));
      case MIXED -> RandomBatchHistoriesTest.fault(cluster);
    }
  }
}
