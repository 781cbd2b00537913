package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.fescuehook.model.fleet.ExecutorId;
import org.junit.jupiter.api.Test;

/**
 * The log of a lost executor gives the age of each run and the number of runs beside it, so that a
 * run that crashed its executor can be told from the runs beside it and from those lost in a power
 * failure.
 */
class LostRunLogTest {

  @Test
  void eachRunIsLoggedWithItsAgeAndWhatRanBesideIt() {
    BatchCluster cluster = new BatchCluster(1, 1, 1);
    cluster.awaitOwner();
    cluster.run(200);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 60_000)));
    cluster.run(2000);
    cluster.submit(BatchCluster.NORMAL, Jobs.of(Jobs.tasks(1, 1, 60_000)));
    cluster.runUntil("both starts", 1000, () -> cluster.work.starts().size() == 2);
    cluster.run(200);
    cluster.crash(new ExecutorId("e0"));
    cluster.run(10_000);
    List<List<Object>> lost =
        cluster.notes(BatchLogEvent.RUN_LOST_WITH_EXECUTOR).stream()
            .map(BatchCommand.Note::arguments)
            .toList();
    assertEquals(
        List.of("seen running", "seen running"), lost.stream().map(run -> run.get(2)).toList());
    assertEquals(List.of(1, 1), lost.stream().map(run -> run.get(4)).toList());
    List<Long> ages = lost.stream().flatMap(run -> age(run.get(3))).toList();
    assertEquals(2, ages.size());
    long apart = ages.getFirst() - ages.getLast();
    assertEquals(2000, apart, 200);
  }

  private static Stream<Long> age(Object logged) {
    String[] words = logged.toString().split(" ");
    return words.length == 2 ? Stream.of(Long.valueOf(words[0])) : Stream.empty();
  }
}
