package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;
import org.junit.jupiter.api.Test;

/**
 * Guards against late jobs while the store takes 0.65 s for each append for some seconds and
 * refuses nothing; 41 of 72 jobs were late. A job needs three appends, for its acceptance, its
 * placement and its end, and must not also wait for the append in progress before each of them.
 */
class SlowStoreTest {

  private static final long APPEND_MILLIS = 650;
  private static final long WORK_MILLIS = 500;
  private static final long TROUBLE_MILLIS = 6000;
  private static final long BETWEEN_JOBS_MILLIS = 100;

  /** How long an append may wait before it is sent: a quarter of an append's time, and a tick. */
  private static final long SEND_DELAY_MILLIS = APPEND_MILLIS / 4 + 50;

  /**
   * A poll that waits for its answer and the next one, and the 0.1 s between two checks of this
   * test.
   */
  private static final long SEEN_MILLIS = 200 + BETWEEN_JOBS_MILLIS;

  private static final long EXPECTED_MILLIS =
      3 * (APPEND_MILLIS + SEND_DELAY_MILLIS) + WORK_MILLIS + SEEN_MILLIS;

  private static final Optional<CallAnswer> COMPLETED =
      Optional.of(new CallAnswer.Phase(JobPhase.COMPLETED));

  private final BatchCluster cluster = new BatchCluster(3, 20, 1);
  private final Map<String, Long> submittedAt = new HashMap<>();
  private final List<Long> times = new ArrayList<>();

  private void recordCompleted() {
    for (String job : List.copyOf(submittedAt.keySet())) {
      boolean accepted = cluster.submissions.get(job) instanceof CallAnswer.Accepted;
      if (accepted && cluster.status(job).equals(COMPLETED)) {
        times.add(cluster.nowMillis() - submittedAt.remove(job));
      }
    }
  }

  @Test
  void aJobWaitsForItsOwnAppendsAndHardlyForEarlierOnes() {
    cluster.awaitOwner();
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, WORK_MILLIS)));
    cluster.run(2000);
    int owners = cluster.ownershipsWon();
    cluster.faults.storeDelayMillis = APPEND_MILLIS;
    for (long at = 0; at < TROUBLE_MILLIS; at += BETWEEN_JOBS_MILLIS) {
      String job = cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 1, WORK_MILLIS)));
      submittedAt.put(job, cluster.nowMillis());
      cluster.run(BETWEEN_JOBS_MILLIS);
      recordCompleted();
    }
    for (long at = 0; at < EXPECTED_MILLIS; at += BETWEEN_JOBS_MILLIS) {
      cluster.run(BETWEEN_JOBS_MILLIS);
      recordCompleted();
    }
    assertEquals(owners, cluster.ownershipsWon(), "a live owner was replaced");
    assertTrue(times.size() > 20, () -> times.size() + " jobs completed");
    long late = times.stream().filter(millis -> millis > EXPECTED_MILLIS).count();
    assertTrue(late * 10 <= times.size(), () -> late + " of " + times.size() + " late: " + times);
  }
}
