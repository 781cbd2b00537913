package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.fescuehook.logic.batch.call.BatchCall;
import org.junit.jupiter.api.Test;

/** Log events about runs that may outlive their job. */
class StopLogTest {

  private final BatchCluster cluster = new BatchCluster(2, 2, 5);

  private List<String> stopOutcomes() {
    return cluster.notes(BatchLogEvent.STOP_ORDER_ENDED).stream()
        .map(note -> note.arguments().get(3).getClass().getSimpleName())
        .toList();
  }

  @Test
  void theLogTellsWhetherAStopWasAnswered() {
    cluster.awaitOwner();
    cluster.run(200);
    String job = cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 8, 60_000)));
    cluster.runUntil("the start", 1000, () -> cluster.work.starts().size() == 1);
    cluster.faults.lostStops = true;
    cluster.call(new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, job));
    cluster.run(500);
    cluster.faults.lostStops = false;
    cluster.run(1200);
    assertEquals(List.of("Unanswered", "Done"), stopOutcomes());
  }

  @Test
  void theLogReportsACancelOfAnUnknownJob() {
    cluster.awaitOwner();
    cluster.call(new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, "00000000000000aa"));
    assertEquals(1, cluster.notes(BatchLogEvent.UNKNOWN_JOB_CANCELLED).size());
  }
}
