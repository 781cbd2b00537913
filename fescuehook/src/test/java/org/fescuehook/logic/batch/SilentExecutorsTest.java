package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Guards against runs that are lost because their executors are not polled again in time after the
 * links to many executors were cut for some seconds and a few of them stay silent. Runs continue
 * only if their executor is polled again before its lease of 6 s expires.
 *
 * <p>Executors that have missed a poll share half of the contact window. Each missed poll reduces
 * the window down to two places unless other contacts are answered meanwhile, and answers to
 * ordinary polls do not count. With a fixed order, the first executors that stay silent would be
 * due again before the later ones had a turn, and take both places each time.
 */
class SilentExecutorsTest {

  private static final int EXECUTORS = 40;
  private static final int STAY_SILENT = 6;
  private static final long CUT_MILLIS = 3000;

  /** Remaining time of the leases after the cut, less the age of the last poll before it. */
  private static final long LIMIT_MILLIS = 1500;

  private final BatchCluster cluster = new BatchCluster(1, EXECUTORS, 1);
  private List<ExecutorId> busy = List.of();
  private List<ExecutorId> reconnected = List.of();

  /** Cuts off all executors with runs, and reconnects all but a few of them after a while. */
  private void cutOffAndReconnect() {
    cluster.awaitOwner();
    cluster.run(500);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(EXECUTORS, 8, 60_000)));
    cluster.run(3000);
    busy =
        cluster.executors.values().stream()
            .filter(executor -> !executor.running().isEmpty())
            .map(executor -> executor.profile().id())
            .toList();
    assertTrue(busy.size() > 2 * STAY_SILENT, () -> "busy " + busy);
    reconnected = busy.subList(STAY_SILENT, busy.size());
    cluster.faults.silent.addAll(busy);
    cluster.run(CUT_MILLIS);
    reconnected.forEach(cluster.faults.silent::remove);
  }

  @Test
  void reconnectedExecutorsArePolledAlsoIfOthersStaySilent() {
    cutOffAndReconnect();
    Map<ExecutorId, Integer> before = new HashMap<>(cluster.orders.sent);
    cluster.run(LIMIT_MILLIS);
    List<ExecutorId> unasked =
        reconnected.stream()
            .filter(id -> cluster.orders.sent.get(id).equals(before.get(id)))
            .toList();
    assertEquals(List.of(), unasked);
  }

  @Test
  void runsOnReconnectedExecutorsAreNotLost() {
    cutOffAndReconnect();
    Map<ExecutorId, String> before = running();
    cluster.run(8000);
    Map<ExecutorId, String> after = running();
    List<ExecutorId> lost =
        reconnected.stream().filter(id -> !before.get(id).equals(after.get(id))).toList();
    assertEquals(List.of(), lost);
  }

  private Map<ExecutorId, String> running() {
    Map<ExecutorId, String> runs = new HashMap<>();
    reconnected.forEach(id -> runs.put(id, cluster.executors.get(id).running().toString()));
    return runs;
  }
}
