package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that leaves no warning about a job of which nothing runs beside free
 * capacity, or one about a job that waits for capacity.
 */
class IdleJobWarningTest {

  private static final int EXECUTORS = 8;

  private final BatchCluster cluster = new BatchCluster(1, EXECUTORS, 1);

  private List<List<Object>> warnings(BatchLogEvent event) {
    return cluster.warnings.stream()
        .filter(warning -> warning.event() == event)
        .map(BatchCommand.Warning::arguments)
        .toList();
  }

  @Test
  void aJobWithoutAdviceInAnIdleFleetIsNamed() {
    cluster.work.advice.setUnavailable(true);
    cluster.awaitOwner();
    cluster.run(500);
    String job = cluster.submit(TestFixtures.ADVISED, Jobs.of(Jobs.tasks(2, 1, 1000)));
    cluster.run(3000);
    List<List<Object>> idle = warnings(BatchLogEvent.JOB_IDLE);
    assertEquals(List.of(job), idle.stream().map(List::getFirst).toList());
    assertEquals(
        List.of(List.of(job, EXECUTORS, 0, 0, 0, 0, 0, 0, 0, EXECUTORS, 0, 0)),
        warnings(BatchLogEvent.IDLE_JOB_BARRED));
    List<Object> held = warnings(BatchLogEvent.IDLE_JOB_HELD).getFirst();
    assertEquals(List.of(job, "lack of advice"), List.of(held.get(0), held.get(1).toString()));
  }

  @Test
  void aJobThatWaitsInAFullFleetIsNotNamed() {
    cluster.awaitOwner();
    cluster.run(500);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(8 * EXECUTORS, 1, 20_000)));
    cluster.run(1000);
    cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(2, 1, 1000)));
    cluster.run(25_000);
    assertEquals(List.of(), warnings(BatchLogEvent.JOB_IDLE));
  }

  /** Less than half of the cores is in use. */
  @Test
  void aJobThatWaitsBesideMoreThanHalfOfTheAcceleratorsInUseIsNotNamed() {
    cluster.awaitOwner();
    cluster.run(500);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(44, 1, 20_000)));
    cluster.run(1000);
    cluster.submit(BatchCluster.BULK, Jobs.of(Jobs.tasks(2, 1, 5000)));
    cluster.run(4000);
    assertEquals(44, cluster.work.starts().size());
    assertEquals(List.of(), warnings(BatchLogEvent.JOB_IDLE));
  }
}
