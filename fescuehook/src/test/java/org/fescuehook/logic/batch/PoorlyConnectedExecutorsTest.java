package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * Guards against gangs that break since a member was placed on an executor to which only a part of
 * the connections opens, although there is capacity on executors that are reached well.
 */
class PoorlyConnectedExecutorsTest {

  private static final int EXECUTORS = 24;

  private static final Set<ExecutorId> CUT =
      IntStream.range(0, 4).mapToObj(i -> new ExecutorId("e" + i)).collect(Collectors.toSet());

  private final BatchCluster cluster =
      new BatchCluster(1, EXECUTORS, 1, TestFixtures.configuration(), TestFixtures.AS_DEPLOYED);

  @Test
  void aGangAvoidsExecutorsToWhichConnectionsTimeOut() {
    cluster.awaitOwner();
    cluster.faults.cutLossRate = 0.5;
    cluster.vms.keySet().forEach(vm -> cluster.faults.cutFromExecutors.put(vm, CUT));
    // Executors without work are not polled, so that nothing tells how well they are reached.
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.tasks(EXECUTORS, 8, 2500)));
    cluster.run(4500);
    int placedBefore = cluster.notes(BatchLogEvent.RUN_PLACED).size();
    cluster.submit(BatchCluster.URGENT, Jobs.of(Jobs.gang(8, 8, 2000)));
    cluster.run(500);
    List<String> placedOn =
        cluster.notes(BatchLogEvent.RUN_PLACED).stream()
            .skip(placedBefore)
            .map(note -> note.arguments().get(1).toString())
            .toList();
    assertEquals(8, placedOn.size());
    assertEquals(
        List.of(), placedOn.stream().filter(id -> CUT.contains(new ExecutorId(id))).toList());
  }
}
