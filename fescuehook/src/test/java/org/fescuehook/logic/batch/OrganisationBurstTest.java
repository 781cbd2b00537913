package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/**
 * A burst of one organisation into half of the capacity. Guards against a burst that delays the
 * jobs of all other organisations for as long as its own jobs are in time: 60 gangs are submitted
 * at once, and three other organisations submit a gang of the same size every 4 s each.
 */
class OrganisationBurstTest {

  private static final int ORGANISATIONS = 4;
  private static final int BURST_JOBS = 60;
  private static final long INTERVAL_MILLIS = 4000;
  private static final long TASK_MILLIS = 3000;
  private static final long SUBMISSION_MILLIS = 32_000;

  /** Time from one end of a gang to the next while the fleet is full, and some for a takeover. */
  private static final long ACCEPTABLE_MEAN_WAIT_MILLIS = 2000;

  /** One simulation. */
  private static final class Burst {
    private final Map<String, Long> submittedAt = new HashMap<>();
    private final Map<String, Long> startedAt = new HashMap<>();
    private final Set<String> jobs = new HashSet<>();
    private final BatchCluster cluster;

    Burst(boolean fairShares) {
      cluster =
          new BatchCluster(
              3,
              16,
              1,
              TestFixtures.configuration(ORGANISATIONS, 0),
              new SchedulingPreferences(false, false, false, fairShares, false, false, false));
      cluster.awaitOwner();
      for (int i = 0; i < 8; i++) {
        cluster.crash(new ExecutorId("e" + i));
      }
      cluster.run(8000);
    }

    private String submit(int organisation) {
      Submission gang = Jobs.of(Jobs.gang(2, 4, TASK_MILLIS));
      String job = cluster.submit(BatchCluster.NORMAL, TestFixtures.keyOf(organisation), gang);
      submittedAt.put(job, cluster.nowMillis());
      return job;
    }

    void submitBurst() {
      for (int i = 0; i < BURST_JOBS; i++) {
        jobs.add(submit(0));
      }
    }

    void scheduleOthers() {
      for (long at = 500; at < SUBMISSION_MILLIS; at += INTERVAL_MILLIS) {
        for (int organisation = 1; organisation < ORGANISATIONS; organisation++) {
          int other = organisation;
          cluster.in(at + organisation * 1000, () -> submit(other));
        }
      }
    }

    void run(long millis) {
      long until = cluster.nowMillis() + millis;
      int seen = 0;
      while (cluster.nowMillis() < until) {
        cluster.run(20);
        for (; seen < cluster.work.starts().size(); seen++) {
          startedAt.putIfAbsent(cluster.work.starts().get(seen).task().job(), cluster.nowMillis());
        }
      }
    }

    /** Returns the mean wait of the other organisations' jobs that were submitted in some time. */
    double meanWaitOfOthers(long fromMillis, long untilMillis) {
      List<Long> waits = new ArrayList<>();
      for (Map.Entry<String, Long> job : submittedAt.entrySet()) {
        boolean counted = job.getValue() >= fromMillis && job.getValue() < untilMillis;
        if (counted && !jobs.contains(job.getKey())) {
          waits.add(startedAt.getOrDefault(job.getKey(), cluster.nowMillis()) - job.getValue());
        }
      }
      assertFalse(waits.isEmpty());
      return waits.stream().mapToLong(Long::longValue).average().orElseThrow();
    }

    double run() {
      long begin = cluster.nowMillis();
      submitBurst();
      scheduleOthers();
      run(SUBMISSION_MILLIS + 30_000);
      return meanWaitOfOthers(begin, Long.MAX_VALUE);
    }
  }

  @Test
  void theBurstCostsItsOwnOrganisationFirst() {
    double wait = new Burst(true).run();
    assertTrue(wait < ACCEPTABLE_MEAN_WAIT_MILLIS, () -> "mean wait of others: " + wait);
  }

  /** The test above tells the two orders apart. */
  @Test
  void withoutFairSharesTheOthersWaitForTheBurst() {
    double wait = new Burst(false).run();
    assertTrue(wait > ACCEPTABLE_MEAN_WAIT_MILLIS, () -> "mean wait of others: " + wait);
  }

  /** Guards against capacity that stays idle for a share nobody asks for. */
  @Test
  void theBurstUsesAllCapacityWhileNobodyElseWaits() {
    Burst fair = new Burst(true);
    fair.submitBurst();
    fair.run(2000);
    Burst other = new Burst(false);
    other.submitBurst();
    other.run(2000);
    assertEquals(other.startedAt.size(), fair.startedAt.size());
    assertTrue(fair.startedAt.size() > 1);
  }

  /** Guards against a successor that forgets whose burst it is and serves it first. */
  @Test
  void aSuccessorKnowsTheUseOfWhatRuns() {
    Burst burst = new Burst(true);
    burst.submitBurst();
    burst.scheduleOthers();
    burst.run(2500);
    burst.cluster.owner().orElseThrow().running = false;
    burst.cluster.awaitOwner();
    long takenOver = burst.cluster.nowMillis();
    burst.run(SUBMISSION_MILLIS);
    double wait = burst.meanWaitOfOthers(takenOver, takenOver + 8000);
    assertTrue(wait < ACCEPTABLE_MEAN_WAIT_MILLIS, () -> "mean wait of others: " + wait);
  }

  @Test
  void theLogNamesTheOrganisationAndTheJobsThatWait() {
    Burst burst = new Burst(true);
    burst.run();
    BatchCommand.Note exceeded = burst.cluster.notes(BatchLogEvent.SHARE_EXCEEDED).getFirst();
    assertEquals("org-0", exceeded.arguments().getFirst());
    List<Object> deferred =
        burst.cluster.notes(BatchLogEvent.JOB_DEFERRED).stream()
            .map(note -> note.arguments().getFirst())
            .toList();
    assertTrue(burst.jobs.contains(deferred.getFirst()), deferred::toString);
    assertFalse(burst.cluster.notes(BatchLogEvent.SHARE_KEPT).isEmpty());
  }
}
