package org.fescuehook.logic.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Placement;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;
import org.junit.jupiter.api.Test;

class HistoryTest {

  private static final long DAY_MILLIS = 24L * 3600 * 1000;
  private static final OrganisationId BIO = new OrganisationId("bio");
  private static final WorkerId W1 = new WorkerId("w1");

  @Test
  void restoresAllStatisticsFromASnapshot() {
    History history =
        History.EMPTY
            .afterAttempt(ended("a", EndedAttempt.Result.FINISHED, 120, 10))
            .afterAttempt(ended("b", EndedAttempt.Result.FAILED, 3, 20))
            .afterQuarantine(new WorkerId("w2"), 5000);

    History restored = History.fromSnapshot(history.toSnapshot());

    assertEquals(history.toSnapshot(), restored.toSnapshot());
    assertEquals(List.of(2.0), restored.use(BIO).ratios());
    assertEquals(1, restored.record(W1).failures().size());
  }

  @Test
  void acceleratorUseHalvesEachDay() {
    History history =
        History.EMPTY.afterAttempt(ended("a", EndedAttempt.Result.FINISHED, 100, DAY_MILLIS));

    assertEquals(400, history.use(BIO).acceleratorSecondsAt(DAY_MILLIS), 1e-6);
    assertEquals(200, history.use(BIO).acceleratorSecondsAt(2 * DAY_MILLIS), 1e-6);
  }

  private static EndedAttempt ended(
      String job, EndedAttempt.Result result, long ranSeconds, long atMillis) {
    Job ran =
        new Job(
            new JobId(job),
            BIO,
            Optional.empty(),
            new Shape(2, new Capacity(2, 4, 10), 0),
            false,
            false,
            60,
            0,
            "run");
    Optional<WorkerId> blamed =
        result == EndedAttempt.Result.FAILED ? Optional.of(W1) : Optional.empty();
    Placement placement = new Placement(List.of(W1, W1));
    return new EndedAttempt(ran, placement, ranSeconds, 0, result, blamed, atMillis);
  }
}
