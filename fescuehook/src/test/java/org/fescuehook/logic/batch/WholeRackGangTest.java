package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/**
 * Gangs that need a whole rack, behind a stream of small jobs of the same rank that would fill the
 * fleet alone. Guards against gangs that wait for as long as the stream lasts, since each small job
 * takes what another one has freed.
 */
class WholeRackGangTest {

  private static final int RACKS = 8;
  private static final int GANGS = 6;
  private static final int SMALL_JOBS = 140;
  private static final long STREAM_MILLIS = 40_000;

  /** Work of a gang. Its objective allows a wait of more than twice as long. */
  private static final long GANG_MILLIS = 4000;

  private static final long SMALL_INTERVAL_MILLIS = 260;

  /** One simulation. */
  private static final class Stream {
    private final BatchCluster cluster;
    private final Random random = new Random(7);
    private final Map<String, Long> gangs = new LinkedHashMap<>();
    private final Map<String, Long> startedAt = new HashMap<>();

    Stream(boolean reservations) {
      cluster =
          new BatchCluster(
              2,
              4 * RACKS,
              1,
              TestFixtures.configuration(),
              new SchedulingPreferences(false, false, false, false, reservations, false, false));
      cluster.awaitOwner();
      for (int i = 0; i < SMALL_JOBS; i++) {
        cluster.in(i * SMALL_INTERVAL_MILLIS, this::submitSmall);
      }
      for (int i = 0; i < GANGS; i++) {
        cluster.in(4000 + i * 4000, this::submitGang);
      }
    }

    private void submitSmall() {
      BatchStep step = Jobs.tasks(12, 1, 1500 + random.nextInt(3000));
      cluster.submit(BatchCluster.NORMAL, BatchCluster.KEY, Jobs.of(step));
    }

    private void submitGang() {
      BatchStep.PlacementRule rule =
          new BatchStep.PlacementRule(true, Optional.empty(), Optional.empty(), 1);
      BatchStep step = Jobs.placed(Jobs.gang(4, 8, GANG_MILLIS), rule);
      String job = cluster.submit(BatchCluster.NORMAL, BatchCluster.KEY, Jobs.of(step));
      gangs.put(job, cluster.nowMillis());
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

    /** Returns the mean wait of the gangs that were submitted from some time on. */
    double meanGangWait(long fromMillis) {
      return gangs.entrySet().stream()
          .filter(gang -> gang.getValue() >= fromMillis)
          .mapToLong(
              gang -> startedAt.getOrDefault(gang.getKey(), cluster.nowMillis()) - gang.getValue())
          .average()
          .orElseThrow();
    }
  }

  @Test
  void gangsStartInTheirReservations() {
    Stream stream = new Stream(true);
    stream.run(STREAM_MILLIS);
    double wait = stream.meanGangWait(0);
    assertTrue(wait < GANG_MILLIS, () -> "mean wait: " + wait);
    assertFalse(stream.cluster.notes(BatchLogEvent.RESERVATION_MADE).isEmpty());
  }

  /** The test above tells the two apart. */
  @Test
  void withoutReservationsGangsWaitForTheStream() {
    Stream stream = new Stream(false);
    stream.run(STREAM_MILLIS);
    double wait = stream.meanGangWait(0);
    assertTrue(wait > GANG_MILLIS, () -> "mean wait: " + wait);
  }

  /** Guards against capacity that is held for gangs and stays idle. */
  @Test
  void asManySmallTasksStartAsWithoutReservations() {
    Stream with = new Stream(true);
    with.run(STREAM_MILLIS);
    Stream without = new Stream(false);
    without.run(STREAM_MILLIS);
    int fewest = (int) (without.cluster.work.starts().size() * 0.98);
    int started = with.cluster.work.starts().size();
    assertTrue(started >= fewest, () -> started + " of at least " + fewest);
  }

  /** Reservations are not stored; the successor makes them again. */
  @Test
  void gangsStartInTheReservationsOfASuccessor() {
    Stream stream = new Stream(true);
    stream.run(8500);
    stream.cluster.owner().orElseThrow().running = false;
    stream.cluster.awaitOwner();
    long takenOver = stream.cluster.nowMillis();
    stream.run(STREAM_MILLIS);
    double wait = stream.meanGangWait(takenOver);
    assertTrue(wait < GANG_MILLIS, () -> "mean wait: " + wait);
  }
}
