package org.fescuehook.bench.soak.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.junit.jupiter.api.Test;

/** Guards against a judge that overlooks jobs which stand still behind a cut. */
class CutJudgeTest {

  private static final String JOB = "00000000000000aa";
  private static final String OTHER = "00000000000000bb";
  private static final long CUT = 50_000;

  /** From here on jobs have to go on. */
  private static final long NOTICED = CUT + 8000;

  private final HistoryBuilder history =
      new HistoryBuilder()
          .executors(2)
          .disturbed(Disruption.Kind.EXECUTORS_CUT, Disruption.ALL, CUT, CUT + 20_000);

  private static PlannedJob.Step tasks(int count) {
    return new PlannedJob.Step(count, List.of());
  }

  private HistoryBuilder startedAt(long accepted, long start) {
    return history
        .accepted(JOB, tasks(2), accepted)
        .ran(JOB + ".0.0.0", 1, start, start + 100)
        .ran(JOB + ".0.0.1", 1, start, start + 100)
        .call(Kind.STATUS, JOB, start + 200, 200, "completed");
  }

  @Test
  void aJobThatStandsStillWhileAVmReachesAllExecutorsIsFound() {
    assertEquals(
        Set.of(Promise.GOES_ON_DESPITE_CUTS), startedAt(CUT + 1000, NOTICED + 3100).broken());
  }

  @Test
  void aJobThatStartsInTimeIsCheckedAndFine() {
    assertEquals(Set.of(), startedAt(CUT + 1000, NOTICED + 2900).broken());
    assertTrue(history.judge().checked(Promise.GOES_ON_DESPITE_CUTS) > 0);
  }

  @Test
  void aJobMayStandStillUntilTheCutIsNoticed() {
    assertEquals(Set.of(), startedAt(CUT + 100, NOTICED - 100).broken());
  }

  @Test
  void aJobMayStandStillUntilASecondCutIsNoticed() {
    history.disturbed(Disruption.Kind.EXECUTORS_CUT, Disruption.ALL, CUT + 5000, CUT + 20_000);

    assertEquals(Set.of(), startedAt(CUT + 1000, NOTICED + 4000).broken());
  }

  @Test
  void aJobThatStandsStillOnceASecondCutIsNoticedIsFound() {
    history.disturbed(Disruption.Kind.EXECUTORS_CUT, Disruption.ALL, CUT + 5000, CUT + 20_000);

    assertEquals(
        Set.of(Promise.GOES_ON_DESPITE_CUTS), startedAt(CUT + 1000, NOTICED + 8200).broken());
  }

  @Test
  void aJobMayStandStillBesideAnotherFault() {
    history.disturbed(Disruption.Kind.ORDERS_LATE, Disruption.ALL, CUT, CUT + 7000);

    assertEquals(Set.of(), startedAt(CUT + 1000, NOTICED + 3100).broken());
  }

  @Test
  void aJobMayStandStillWhileHalfOfTheFleetIsInUse() {
    history.accepted(OTHER, tasks(4), CUT);
    for (int task = 0; task < 4; task++) {
      history.ran(OTHER + ".0.0." + task, 1, NOTICED - 500, NOTICED + 3500);
    }
    history.call(Kind.STATUS, OTHER, NOTICED + 4000, 200, "completed");

    assertEquals(Set.of(), startedAt(CUT + 1000, NOTICED + 3100).broken());
  }

  @Test
  void aJobMayStandStillWithoutCapacityForTwiceItsStep() {
    history.accepted(JOB, tasks(7), CUT);
    for (int task = 0; task < 7; task++) {
      history.ran(JOB + ".0.0." + task, 1, NOTICED + 3100, NOTICED + 3200);
    }
    history.call(Kind.STATUS, JOB, NOTICED + 3300, 200, "completed");

    assertEquals(Set.of(), history.broken());
  }

  /**
   * Guards against orders that the cut holds up and that are counted as late for another reason.
   */
  @Test
  void aCutIsNoCalmTimeForLateOrders() {
    history.disturbed(Disruption.Kind.ORDERS_LATE, Disruption.ALL, CUT, CUT + 20_000);

    assertEquals(Set.of(), startedAt(CUT + 1000, NOTICED + 3100).broken());
  }
}
