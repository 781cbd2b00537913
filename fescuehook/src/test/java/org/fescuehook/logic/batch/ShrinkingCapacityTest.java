package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * The capacity of an executor may shrink and grow while it runs. Guards against a start that was
 * placed before the capacity shrank and is sent afterwards without another look at the capacity,
 * since a placement waits for the store: an executor without checks of its own would exceed its
 * capacity.
 */
class ShrinkingCapacityTest {

  private static final ResourceVector HALF = new ResourceVector(32_000, 131_072, 4);

  /** Time that the store takes for an append; the reduced capacity is binding after 4.5 s. */
  private static final long SLOW_APPEND_MILLIS = 5000;

  @Test
  void aStartThatWasPlacedBeforeTheCapacityShrankIsNotSentAfterwards() {
    BatchCluster cluster = new BatchCluster(1, 1, 1);
    cluster.awaitOwner();
    cluster.run(500);
    FakeExecutor executor = cluster.executors.get(new ExecutorId("e0"));
    executor.skipCapacityCheck();
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 4, 1000)));
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 6, 1000)));
    cluster.runUntil("the first start", 500, () -> cluster.work.starts().size() == 1);
    cluster.faults.appendMillis = SLOW_APPEND_MILLIS;
    cluster.runUntil(
        "both placements", 2000, () -> cluster.notes(BatchLogEvent.RUN_PLACED).size() == 2);
    executor.resize(HALF, cluster);
    cluster.run(2 * SLOW_APPEND_MILLIS);
    assertEquals(1, cluster.work.starts().size());
    cluster.faults.appendMillis = 0;
    executor.resize(TestFixtures.CAPACITY, cluster);
    cluster.runUntil("the start", 15_000, () -> cluster.work.starts().size() == 2);
  }

  /**
   * A run that is being stopped occupies capacity until it has ended, even capacity that is gone.
   */
  @Test
  void nothingStartsOnAnExecutorThatHoldsMoreThanItsCapacity() {
    BatchCluster cluster = new BatchCluster(1, 1, 1);
    cluster.awaitOwner();
    cluster.run(500);
    FakeExecutor executor = cluster.executors.get(new ExecutorId("e0"));
    executor.skipCapacityCheck();
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 8, 12_000)));
    cluster.runUntil("the first start", 500, () -> cluster.work.starts().size() == 1);
    executor.resize(HALF, cluster);
    cluster.run(5000);
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 0, 1000)));
    cluster.run(5000);
    assertEquals(1, cluster.work.starts().size());
    cluster.runUntil("the next start", 5000, () -> cluster.work.starts().size() == 2);
  }

  /** The first start got no answer; a repeated one would be the first that arrives. */
  @Test
  void aStartIsNotRepeatedOnceTheCapacityHasShrunk() {
    BatchCluster cluster = new BatchCluster(1, 1, 1);
    cluster.awaitOwner();
    cluster.run(500);
    ExecutorId id = new ExecutorId("e0");
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(1, 6, 1000)));
    cluster.faults.silent.add(id);
    cluster.runUntil("the order", 1000, () -> cluster.orders.starts() == 1);
    cluster.executors.get(id).resize(HALF, cluster);
    cluster.run(1500);
    cluster.faults.silent.clear();
    cluster.run(5000);
    assertEquals(1, cluster.orders.starts());
  }
}
