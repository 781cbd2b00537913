package org.fescuehook.bench.soak.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.junit.jupiter.api.Test;

/** Guards against a judge that overlooks jobs which stand still in a calm, half idle service. */
class CalmJudgeTest {

  private static final String JOB = "00000000000000aa";
  private static final String TASK = JOB + ".0.0.0";
  private static final String OTHER = "00000000000000bb";
  private static final long AT = 20_000;

  private final HistoryBuilder history = new HistoryBuilder().executors(2);

  private static PlannedJob.Step tasks(int count) {
    return new PlannedJob.Step(count, List.of());
  }

  /** A job of one task that is accepted at a time and starts after a wait. */
  private HistoryBuilder startedAfter(long wait) {
    return history
        .accepted(JOB, tasks(1), AT - 10)
        .ran(TASK, 1, AT + wait, AT + wait + 100)
        .call(Kind.STATUS, JOB, AT + wait + 200, 200, "completed");
  }

  /** A job that allows four attempts and failed three times, the last time at {@link #AT}. */
  private HistoryBuilder failedThreeTimes() {
    return history
        .acceptedByRetriedQueue(JOB, "run:100 fails:50 job " + JOB, tasks(1), AT - 900)
        .failed(TASK, 1, AT - 800, AT - 700)
        .failed(TASK, 2, AT - 500, AT - 400)
        .failed(TASK, 3, AT - 100, AT);
  }

  private void assertFound() {
    assertEquals(Set.of(Promise.GOES_ON_IN_CALM), history.broken());
  }

  private void assertFine() {
    assertEquals(Set.of(), history.broken());
  }

  @Test
  void aJobThatStandsStillIsFound() {
    startedAfter(3001);
    assertFound();
  }

  @Test
  void aJobThatStartsInTimeIsCheckedAndFine() {
    startedAfter(3000);
    assertFine();
    assertTrue(history.judge().checked(Promise.GOES_ON_IN_CALM) > 0);
  }

  /** Guards against a last attempt that waits for an executor where a run has ended well. */
  @Test
  void aLastAttemptThatIsWaitedForIsFound() {
    failedThreeTimes()
        .ran(TASK, 4, AT + 3001, AT + 3100)
        .call(Kind.STATUS, JOB, AT + 4000, 200, "completed");
    assertFound();
  }

  @Test
  void aLastAttemptInTimeIsFine() {
    failedThreeTimes()
        .ran(TASK, 4, AT + 2900, AT + 3000)
        .call(Kind.STATUS, JOB, AT + 4000, 200, "completed");
    assertFine();
  }

  @Test
  void aJobWhoseAttemptsAreUsedUpIsOver() {
    failedThreeTimes()
        .failed(TASK, 4, AT + 500, AT + 600)
        .call(Kind.STATUS, JOB, AT + 9000, 200, "failed");
    assertFine();
  }

  /** A gang that allows two attempts and failed once, at {@link #AT}. */
  private HistoryBuilder gangFailedOnce() {
    return history
        .executors(4)
        .acceptedWithTwoAttempts(JOB, "run:100*4 gang:2 job " + JOB, tasks(2), AT - 900)
        .failed(TASK, 1, AT - 100, AT)
        .failed(JOB + ".0.0.1", 1, AT - 100, AT);
  }

  /** The members start again together after a wait. */
  private HistoryBuilder gangStartsAgainAfter(long wait) {
    return gangFailedOnce()
        .ran(TASK, 2, AT + wait, AT + wait + 100)
        .ran(JOB + ".0.0.1", 2, AT + wait, AT + wait + 100)
        .call(Kind.STATUS, JOB, AT + wait + 200, 200, "completed");
  }

  /** Guards against a last attempt that waits for executors without evidence against them. */
  @Test
  void aGangThatWaitsForItsSecondOfTwoAttemptsIsFound() {
    gangStartsAgainAfter(3001);
    assertFound();
  }

  @Test
  void aGangWhoseSecondOfTwoAttemptsStartsInTimeIsFine() {
    gangStartsAgainAfter(3000);
    assertFine();
    assertTrue(history.judge().checked(Promise.GOES_ON_IN_CALM) > 0);
  }

  @Test
  void aGangWhoseTwoAttemptsAreUsedUpIsOver() {
    gangFailedOnce()
        .failed(TASK, 2, AT + 500, AT + 600)
        .call(Kind.STATUS, JOB, AT + 9000, 200, "failed");
    assertFine();
  }

  /** Executors that fail disturb while they do so; what they are taken for later is no excuse. */
  @Test
  void aGangMayWaitWhileExecutorsFailAndFourSecondsLonger() {
    history.disturbed(Disruption.Kind.RUNS_FAIL, Disruption.ALL, AT - 4000, AT + 1000);
    gangStartsAgainAfter(1000 + 4000 + 3000);
    assertFine();
  }

  @Test
  void aGangThatStandsStillOnceExecutorsAreSoundIsFound() {
    history.disturbed(Disruption.Kind.RUNS_FAIL, Disruption.ALL, AT - 4000, AT + 1000);
    gangStartsAgainAfter(1000 + 4000 + 3000 + 300);
    assertFound();
  }

  @Test
  void aJobThatIsShownAsFailedWithAnAttemptLeftIsFound() {
    failedThreeTimes().call(Kind.STATUS, JOB, AT + 500, 200, "failed");
    assertEquals(Set.of(Promise.ACCEPTED_IS_KNOWN, Promise.STARTS_AGAIN), history.broken());
  }

  @Test
  void aJobMayStandStillFourSecondsAfterADisruption() {
    history.disturbed(Disruption.Kind.KILLED, 0, AT - 5000, AT - 100);
    startedAfter(3800 + 3000);
    assertFine();
  }

  @Test
  void aJobThatStandsStillOnceADisruptionIsOverIsFound() {
    history.disturbed(Disruption.Kind.KILLED, 0, AT - 5000, AT - 100);
    startedAfter(3900 + 3000 + 200);
    assertFound();
  }

  @Test
  void aStoreThatGoesAwayExcusesNothingBefore() {
    startedAfter(3500);
    history.disturbed(Disruption.Kind.STORE_AWAY, Disruption.ALL, AT + 3200, AT + 4000);
    assertFound();
  }

  @Test
  void aNewConfigurationIsNoDisruption() {
    startedAfter(3500);
    history.disturbed(Disruption.Kind.CONFIGURED, Disruption.ALL, AT + 1000, AT + 4000);
    assertFound();
  }

  @Test
  void aJobMayStandStillWhileHalfOfTheServiceIsInUse() {
    history.accepted(OTHER, tasks(4), AT - 600);
    for (int task = 0; task < 4; task++) {
      history.ran(OTHER + ".0.0." + task, 1, AT - 500, AT + 4000);
    }
    history.call(Kind.STATUS, OTHER, AT + 4100, 200, "completed");
    startedAfter(3900);
    assertFine();
  }

  @Test
  void aTaskThatTakesAWholeExecutorNeedsTwoIdleOnes() {
    wholeExecutorBeside(0);
    assertFound();
  }

  @Test
  void aTaskThatTakesAWholeExecutorMayWaitBesideASmallOne() {
    wholeExecutorBeside(1);
    assertFine();
  }

  private void wholeExecutorBeside(int others) {
    if (others > 0) {
      history
          .accepted(OTHER, tasks(others), AT - 600)
          .ran(OTHER + ".0.0.0", 1, AT - 500, AT + 4000)
          .call(Kind.STATUS, OTHER, AT + 4100, 200, "completed");
    }
    history
        .acceptedAs(JOB, "run:100*4 job " + JOB, tasks(1), AT - 10)
        .ran(TASK, 1, AT + 3500, AT + 3600)
        .call(Kind.STATUS, JOB, AT + 3700, 200, "completed");
  }

  @Test
  void oneTaskOfAWideStepIsEnough() {
    history.accepted(JOB, tasks(7), AT - 10);
    for (int task = 0; task < 7; task++) {
      history.ran(JOB + ".0.0." + task, 1, AT + 3100, AT + 3200);
    }
    history.call(Kind.STATUS, JOB, AT + 3300, 200, "completed");
    assertFound();
  }

  /** The members of a gang can run only together. */
  @Test
  void aGangMayWaitWithoutCapacityForTwiceItsMembers() {
    gangOf(5);
    assertFine();
  }

  @Test
  void aGangWithCapacityForTwiceItsMembersIsFound() {
    gangOf(4);
    assertFound();
  }

  private void gangOf(int members) {
    history.acceptedAs(JOB, "run:100 gang:" + members + " job " + JOB, tasks(members), AT - 10);
    for (int member = 0; member < members; member++) {
      history.ran(JOB + ".0.0." + member, 1, AT + 3100, AT + 3200);
    }
    history.call(Kind.STATUS, JOB, AT + 3300, 200, "completed");
  }

  @Test
  void aCancelledJobMayStandStill() {
    history
        .accepted(JOB, tasks(1), AT - 10)
        .call(Kind.CANCEL, JOB, AT + 3500, 200, "")
        .call(Kind.STATUS, JOB, AT + 3700, 200, "cancelled");
    assertFine();
  }

  @Test
  void aTaskWhoseExecutorCrashedMayWaitForTheEndOfALease() {
    history
        .accepted(JOB, tasks(1), AT - 10)
        .crashed(TASK, 1, AT + 100)
        .restarted()
        .ran(TASK, 2, AT + 7000, AT + 7100)
        .call(Kind.STATUS, JOB, AT + 7200, 200, "completed");
    assertFine();
  }
}
