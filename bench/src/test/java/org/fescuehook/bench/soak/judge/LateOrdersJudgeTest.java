package org.fescuehook.bench.soak.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.fescuehook.standins.platform.RunEvent;
import org.junit.jupiter.api.Test;

/** Guards against a judge that overlooks jobs which stand still while answers are lost. */
class LateOrdersJudgeTest {

  private static final String JOB = "00000000000000aa";
  private static final String OTHER = "00000000000000bb";
  private static final long ACCEPTED = 60_000;

  private final HistoryBuilder history =
      new HistoryBuilder()
          .executors(2)
          .disturbed(Disruption.Kind.ORDERS_LATE, Disruption.ALL, 50_000, 80_000);

  private static PlannedJob.Step tasks(int count) {
    return new PlannedJob.Step(count, List.of());
  }

  private HistoryBuilder startedAt(long millis) {
    return history
        .accepted(JOB, tasks(2), ACCEPTED)
        .ran(JOB + ".0.0.0", 1, millis, millis + 100)
        .ran(JOB + ".0.0.1", 1, millis, millis + 100)
        .call(Kind.STATUS, JOB, millis + 200, 200, "completed");
  }

  private HistoryBuilder othersRun(int count) {
    history.accepted(OTHER, tasks(count), ACCEPTED - 1000);
    for (int task = 0; task < count; task++) {
      history.ran(OTHER + ".0.0." + task, 1, ACCEPTED - 500, ACCEPTED + 3500);
    }
    return history.call(Kind.STATUS, OTHER, ACCEPTED + 4000, 200, "completed");
  }

  @Test
  void aJobThatStandsStillBesideAFreeFleetIsFound() {
    assertEquals(Set.of(Promise.GOES_ON_DESPITE_LATE_ORDERS), startedAt(63_100).broken());
  }

  @Test
  void aJobThatStartsInTimeIsCheckedAndFine() {
    assertEquals(Set.of(), startedAt(62_900).broken());
    assertTrue(history.judge().checked(Promise.GOES_ON_DESPITE_LATE_ORDERS) > 0);
  }

  @Test
  void aJobThatStandsStillBetweenItsStepsIsFound() {
    history
        .accepted(JOB, ACCEPTED)
        .ran(JOB + ".0.0.0", 1, 60_100, 60_200)
        .ran(JOB + ".0.1.0", 1, 63_400, 63_500)
        .call(Kind.STATUS, JOB, 64_000, 200, "completed");

    assertEquals(Set.of(Promise.GOES_ON_DESPITE_LATE_ORDERS), history.broken());
  }

  @Test
  void aJobThatStandsStillOnceADisturbanceIsOverIsFound() {
    history.disturbed(Disruption.Kind.STORE_AWAY, Disruption.ALL, 46_000, 46_500);

    assertEquals(Set.of(Promise.GOES_ON_DESPITE_LATE_ORDERS), startedAt(63_700).broken());
  }

  @Test
  void aJobMayStandStillAfterADisturbanceOfAnExecutor() {
    history.disturbed(Disruption.Kind.EXECUTOR, 1, 53_000, 53_500);

    assertEquals(Set.of(), startedAt(63_100).broken());
  }

  @Test
  void aJobMayStandStillWhileHalfOfTheFleetIsInUse() {
    othersRun(4);

    assertEquals(Set.of(), startedAt(63_100).broken());
  }

  @Test
  void aJobMayNotStandStillWhileLessOfTheFleetIsInUse() {
    othersRun(3);

    assertEquals(Set.of(Promise.GOES_ON_DESPITE_LATE_ORDERS), startedAt(63_100).broken());
  }

  @Test
  void aJobMayStandStillWithoutCapacityForTwiceItsStep() {
    history.accepted(JOB, tasks(7), ACCEPTED);
    for (int task = 0; task < 7; task++) {
      history.ran(JOB + ".0.0." + task, 1, 63_100, 63_200);
    }
    history.call(Kind.STATUS, JOB, 63_300, 200, "completed");

    assertEquals(Set.of(), history.broken());
  }

  @Test
  void aJobMayStandStillWithoutAdvice() {
    history.disturbed(Disruption.Kind.ADVICE, Disruption.ALL, 55_000, 61_000);

    assertEquals(Set.of(), startedAt(63_100).broken());
  }

  @Test
  void aJobWhoseExecutorCrashedMayStandStill() {
    history
        .accepted(JOB, tasks(1), ACCEPTED)
        .started(JOB + ".0.0.0", 1, 60_100)
        .event(RunEvent.Kind.CRASHED, JOB + ".0.0.0", 1, "", 60_200)
        .restarted()
        .ran(JOB + ".0.0.0", 2, 64_000, 64_100)
        .call(Kind.STATUS, JOB, 64_300, 200, "completed");

    assertEquals(Set.of(), history.broken());
  }

  @Test
  void aJobThatStandsStillOutsideOfLateOrdersDoesSoInCalm() {
    history
        .accepted(JOB, tasks(1), 20_000)
        .ran(JOB + ".0.0.0", 1, 24_000, 24_100)
        .call(Kind.STATUS, JOB, 24_300, 200, "completed");

    assertEquals(Set.of(Promise.GOES_ON_IN_CALM), history.broken());
  }
}
