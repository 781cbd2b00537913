package org.fescuehook.bench.soak.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.fescuehook.standins.platform.RunEvent;
import org.junit.jupiter.api.Test;

/** Failed runs, and ends that an executor cannot list at once, are judged. */
class FailureJudgeTest {

  private static final String JOB = "00000000000000aa";
  private static final String TASK = JOB + ".0.0.0";
  private static final int LISTED_ENDS = 500;

  private final HistoryBuilder history = new HistoryBuilder();

  private void assertBroken(Promise... expected) {
    assertEquals(Set.of(expected), history.broken());
  }

  private HistoryBuilder accepted(int tasks) {
    return history.accepted(JOB, new PlannedJob.Step(tasks, List.of()), 1000);
  }

  @Test
  void aFailedTaskThatNeverStartsAgainIsFound() {
    accepted(1).failed(TASK, 1, 1100, 1300).failed(TASK, 2, 1400, 1600);

    assertBroken(
        Promise.STARTS_AGAIN,
        Promise.GOES_ON,
        Promise.GOES_ON_IN_CALM,
        Promise.ACCEPTED_ENDS,
        Promise.ANSWERED);
  }

  @Test
  void aJobThatStandsStillAfterTheFaultsIsFound() {
    long late = HistoryBuilder.QUIET + 14_000;
    accepted(1)
        .failed(TASK, 1, 1100, 1300)
        .call(Kind.STATUS, JOB, HistoryBuilder.QUIET + 1000, 200, "in_progress")
        .ran(TASK, 2, late + 3001, late + 4000)
        .call(Kind.STATUS, JOB, late + 5000, 200, "completed");

    assertBroken(Promise.GOES_ON, Promise.GOES_ON_IN_CALM);
  }

  @Test
  void aJobThatWaitsForAnExecutorAfterTheFaultsIsFine() {
    long late = HistoryBuilder.QUIET + 14_000;
    history.disturbed(Disruption.Kind.KILLED, 1, 1200, late - 3000);
    accepted(3)
        .ran(TASK, 1, 1100, 1300)
        .call(Kind.STATUS, JOB, HistoryBuilder.QUIET + 1000, 200, "in_progress")
        .ran(JOB + ".0.0.1", 1, late + 3000, late + 4000)
        .ran(JOB + ".0.0.2", 1, late + 3000, late + 4000)
        .call(Kind.STATUS, JOB, late + 5000, 200, "completed");

    assertBroken();
  }

  @Test
  void aFailedTaskThatStartsAgainIsFine() {
    accepted(1)
        .failed(TASK, 1, 1100, 1300)
        .ran(TASK, 2, 4200, 4700)
        .call(Kind.STATUS, JOB, 10_000, 200, "completed");

    assertBroken();
  }

  @Test
  void aJobMayFailOnceItsAttemptsAreUsed() {
    accepted(1)
        .failed(TASK, 1, 1100, 1300)
        .failed(TASK, 2, 1400, 1600)
        .failed(TASK, 3, 4500, 4700)
        .call(Kind.STATUS, JOB, 10_000, 200, "failed");

    assertBroken();
  }

  /** Another task may have ended the job. */
  @Test
  void aFailedTaskOfAJobThatIsGivenUpNeedNotStartAgain() {
    String other = JOB + ".0.0.1";
    accepted(2)
        .failed(TASK, 1, 1100, 1300)
        .crashed(other, 1, 1100)
        .restarted()
        .crashed(other, 2, 1500)
        .call(Kind.STATUS, JOB, 10_000, 200, "failed");

    assertBroken();
  }

  @Test
  void aJobThatFailsWithAttemptsLeftIsFound() {
    accepted(1)
        .failed(TASK, 1, 1100, 1300)
        .ran(TASK, 2, 2000, 2100)
        .call(Kind.STATUS, JOB, 10_000, 200, "failed");

    assertBroken(Promise.ACCEPTED_IS_KNOWN);
  }

  @Test
  void aTaskThatRunsAgainAfterAnEndBehindManyOthersIsFound() {
    accepted(LISTED_ENDS + 1);
    endAll();
    String last = JOB + ".0.0." + LISTED_ENDS;
    history.ran(last, 2, 9000, 9100).call(Kind.STATUS, JOB, 10_000, 200, "completed");

    assertBroken(Promise.NO_TASK_TWICE, Promise.HIDDEN_END_COUNTS);
  }

  @Test
  void onlyEndsBehindManyOthersCountAsHidden() {
    accepted(LISTED_ENDS + 1);
    endAll();
    history.call(Kind.STATUS, JOB, 10_000, 200, "completed");

    assertEquals(1, history.judge().checked(Promise.HIDDEN_END_COUNTS));
    assertBroken();
  }

  private void endAll() {
    for (int index = 0; index <= LISTED_ENDS; index++) {
      history.started(JOB + ".0.0." + index, 1, 1100);
    }
    for (int index = 0; index <= LISTED_ENDS; index++) {
      history.event(RunEvent.Kind.ENDED, JOB + ".0.0." + index, 1, "done", 2000 + index);
    }
    for (int index = 0; index <= LISTED_ENDS; index++) {
      history.event(RunEvent.Kind.ACKNOWLEDGED, JOB + ".0.0." + index, 1, "done", 8000);
    }
  }
}
