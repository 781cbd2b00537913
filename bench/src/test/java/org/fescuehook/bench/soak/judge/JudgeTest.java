package org.fescuehook.bench.soak.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.Set;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.fescuehook.bench.soak.judge.JobCall.Result;
import org.fescuehook.standins.platform.RunEvent;
import org.junit.jupiter.api.Test;

class JudgeTest {

  private static final String JOB = "00000000000000aa";
  private static final String FIRST = JOB + ".0.0.0";
  private static final String SECOND = JOB + ".0.1.0";

  private final HistoryBuilder history = new HistoryBuilder();

  private void assertBroken(Promise... expected) {
    assertEquals(Set.of(expected), history.broken());
  }

  @Test
  void aSoundHistoryHoldsAndIsChecked() {
    history.whole(JOB, 1000).call(Kind.SUBMIT, JOB, 5000, 200, "");

    assertBroken();
    for (Promise promise :
        EnumSet.of(Promise.ACCEPTED_ENDS, Promise.ONE_JOB, Promise.ORDER, Promise.ONLY_ASKED)) {
      assertTrue(history.judge().checked(promise) > 0, promise.name());
    }
  }

  @Test
  void anAcceptedJobThatIsNotKnownIsFound() {
    history.whole(JOB, 1000).call(Kind.STATUS, JOB, 8000, 410, "");

    assertBroken(Promise.ACCEPTED_IS_KNOWN);
  }

  @Test
  void aVmOutOfTouchMayNotKnowAJob() {
    history
        .whole(JOB, 1000)
        .call(Kind.STATUS, JOB, 8000, 410, "")
        .disturbed(Disruption.Kind.LINK, 0, 6000, 7000);

    assertBroken();
  }

  @Test
  void anotherVmOutOfTouchExcusesNothing() {
    history
        .whole(JOB, 1000)
        .call(Kind.STATUS, JOB, 8000, 410, "")
        .disturbed(Disruption.Kind.LINK, 1, 6000, 7000);

    assertBroken(Promise.ACCEPTED_IS_KNOWN);
  }

  @Test
  void aJobShownAsCancelledThatNobodyCancelledIsFound() {
    history.accepted(JOB, 1000).call(Kind.STATUS, JOB, 2000, 200, "cancelled");

    assertBroken(Promise.ACCEPTED_IS_KNOWN);
  }

  @Test
  void anAcceptedJobThatNeverEndsIsFound() {
    history
        .accepted(JOB, 1000)
        .call(Kind.STATUS, JOB, HistoryBuilder.QUIET + 1000, 200, "in_progress");

    assertBroken(Promise.ACCEPTED_ENDS, Promise.GOES_ON, Promise.GOES_ON_IN_CALM);
  }

  @Test
  void aJobThatStandsStillInCalmIsFound() {
    history
        .accepted(JOB, 1000)
        .failed(FIRST, 1, 1100, 1300)
        .ran(FIRST, 2, 4301, 4400)
        .ran(SECOND, 1, 4500, 4600)
        .call(Kind.STATUS, JOB, 5000, 200, "completed");

    assertBroken(Promise.GOES_ON_IN_CALM);
  }

  @Test
  void anOpenJobWithoutAnAnswerAfterTheQuietIsFound() {
    history
        .accepted(JOB, 1000)
        .ran(FIRST, 1, 2000, 3000)
        .ran(SECOND, 1, 4000, 5000)
        .call(Kind.STATUS, JOB, HistoryBuilder.QUIET + 15_000, 200, "completed");

    assertBroken(Promise.ANSWERED);
  }

  @Test
  void aRefusedJobThatRunsIsFound() {
    history.job(JOB).call(Kind.SUBMIT, JOB, 1000, 503, "").ran(FIRST, 1, 2000, 3000);

    assertBroken(Promise.REFUSED_NEVER_RUNS);
  }

  @Test
  void aJobWhoseSubmissionGotNoAnswerMayRun() {
    history
        .job(JOB)
        .call(Kind.SUBMIT, JOB, 1000, 503, "")
        .call(Kind.SUBMIT, JOB, 0, 2000, 5000, new Result.TimedOut())
        .ran(FIRST, 1, 2500, 3000);

    assertBroken();
  }

  @Test
  void aRepeatedSubmissionThatIsNotTakenForTheJobIsFound() {
    history.whole(JOB, 1000).call(Kind.SUBMIT, JOB, 5000, 409, "");

    assertBroken(Promise.ONE_JOB);
  }

  @Test
  void aTaskThatStartsAgainAfterItsJobWasShownAsCompletedIsFound() {
    history.whole(JOB, 1000).ran(FIRST, 2, 9000, 9100);

    assertBroken(Promise.ONE_JOB, Promise.NO_TASK_TWICE);
  }

  @Test
  void twoRunsOfATaskAtATimeAreFound() {
    history.whole(JOB, 1000).started(FIRST, 2, 1100);

    assertBroken(Promise.NO_TASK_TWICE, Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS);
  }

  @Test
  void aRunAfterOneThatLapsedIsAllowed() {
    history
        .accepted(JOB, 1000)
        .started(FIRST, 1, 1100)
        .event(RunEvent.Kind.ENDED, FIRST, 1, "lapsed", 1200)
        .ran(FIRST, 2, 1300, 1400)
        .ran(SECOND, 1, 1500, 1600)
        .call(Kind.STATUS, JOB, 2000, 200, "completed");

    assertBroken();
  }

  @Test
  void aRunAfterAnEndThatIsTakenNoteOfLaterIsFound() {
    history
        .whole(JOB, 1000)
        .started(FIRST, 2, 1160)
        .event(RunEvent.Kind.CRASHED, FIRST, 2, "", 1165);

    assertBroken(Promise.NO_TASK_TWICE);
  }

  @Test
  void anEndWhoseExecutorLapsedBeforeItWasTakenNoteOfBindsNobody() {
    history
        .accepted(JOB, 1000)
        .started(FIRST, 1, 1100)
        .event(RunEvent.Kind.ENDED, FIRST, 1, "done", 1200)
        .event(RunEvent.Kind.LAPSED, "", 0, "", 1250)
        .event(RunEvent.Kind.ACKNOWLEDGED, FIRST, 1, "done", 1300)
        .ran(FIRST, 2, 1400, 1500)
        .ran(SECOND, 1, 1600, 1700)
        .call(Kind.STATUS, JOB, 2000, 200, "completed");

    assertBroken();
  }

  @Test
  void aStepThatStartsBeforeTheOneItDependsOnIsFound() {
    history
        .accepted(JOB, 1000)
        .ran(SECOND, 1, 1100, 1200)
        .ran(FIRST, 1, 1300, 1400)
        .call(Kind.STATUS, JOB, 2000, 200, "completed");

    assertBroken(Promise.ORDER);
  }

  @Test
  void aJobShownAsCompletedTooEarlyIsFound() {
    history
        .accepted(JOB, 1000)
        .ran(FIRST, 1, 1100, 1200)
        .call(Kind.STATUS, JOB, 1500, 200, "completed")
        .ran(SECOND, 1, 1400, 2600);

    assertBroken(Promise.COMPLETED_IS_TRUE);
  }

  @Test
  void aTaskThatNobodySentIsFound() {
    history.whole(JOB, 1000).ran("00000000000000bb.0.0.0", 1, 2000, 2100);

    assertBroken(Promise.ONLY_ASKED);
  }

  @Test
  void aTaskWithAnotherTextIsFound() {
    history
        .accepted(JOB, 1000)
        .startedWith(FIRST, 1, "run:1 other", 1100)
        .event(RunEvent.Kind.ENDED, FIRST, 1, "done", 1200)
        .ran(SECOND, 1, 1300, 1400)
        .call(Kind.STATUS, JOB, 2000, 200, "completed");

    assertBroken(Promise.ONLY_ASKED);
  }

  @Test
  void aTaskThatStartsLongAfterTheCancellingIsFound() {
    history
        .accepted(JOB, 1000)
        .call(Kind.CANCEL, JOB, 2000, 200, "")
        .ran(FIRST, 1, 5100, 5200)
        .call(Kind.STATUS, JOB, 6000, 200, "cancelled");

    assertBroken(Promise.CANCEL);
  }

  @Test
  void anExecutorThatCrashesExcusesNoStartAfterTheCancelling() {
    history
        .accepted(JOB, 1000)
        .call(Kind.CANCEL, JOB, 2000, 200, "")
        .ran(FIRST, 1, 5100, 5200)
        .disturbed(Disruption.Kind.EXECUTOR, 1, 4900, 4900)
        .call(Kind.STATUS, JOB, 6000, 200, "cancelled");

    assertBroken(Promise.CANCEL);
  }

  @Test
  void aStartThatItsExecutorCarriesOutLateIsAllowed() {
    history
        .accepted(JOB, 1000)
        .call(Kind.CANCEL, JOB, 2000, 200, "")
        .ran(FIRST, 1, 5100, 5200)
        .event(RunEvent.Kind.STARTED_LATE, FIRST, 1, "", 5100)
        .call(Kind.STATUS, JOB, 6000, 200, "cancelled");

    assertBroken();
  }

  @Test
  void aTaskThatStartsLongAfterTheCancellingBesideADisruptionIsAllowed() {
    history
        .accepted(JOB, 1000)
        .call(Kind.CANCEL, JOB, 2000, 200, "")
        .ran(FIRST, 1, 5100, 5200)
        .disturbed(Disruption.Kind.PAUSED, 1, 2500, 4900)
        .call(Kind.STATUS, JOB, 6000, 200, "cancelled");

    assertBroken();
  }

  @Test
  void aTaskThatStartsLongAfterTheCancellingOfAnUnknownJobIsFound() {
    history
        .job(JOB)
        .call(Kind.CANCEL, JOB, 2000, 410, "")
        .call(Kind.SUBMIT, JOB, 2100, 200, "")
        .ran(FIRST, 1, 5100, 5200)
        .call(Kind.STATUS, JOB, 6000, 200, "cancelled");

    assertBroken(Promise.CANCEL);
  }

  @Test
  void anAnswerThatAPlannedStopCutsIsFound() {
    history
        .whole(JOB, 1000)
        .disturbed(Disruption.Kind.STOPPED, 0, 3000, 6000)
        .call(Kind.STATUS, JOB, 0, 5500, 6000, new Result.Broken("connection closed"));

    assertBroken(Promise.PLANNED_STOP);
  }

  @Test
  void anAnswerCutBesideAnUnplannedDisruptionIsNotThePlannedStops() {
    history
        .whole(JOB, 1000)
        .disturbed(Disruption.Kind.STOPPED, 0, 3000, 6000)
        .disturbed(Disruption.Kind.STORE_AWAY, Disruption.ALL, 3500, 4000)
        .call(Kind.STATUS, JOB, 0, 5500, 6000, new Result.Broken("connection closed"));

    assertBroken();
  }

  @Test
  void callsThatAreNotServedAfterAllVmsAreBackAreFound() {
    served(0, 10);
    killAll();
    history.disturbed(Disruption.Kind.STORE_SLOW, Disruption.ALL, 19_000, 60_000);
    refused(40_000, 10);

    assertBroken(Promise.SERVED_AGAIN);
  }

  @Test
  void aVmThatIsStartedAfterAPlannedStopIsDownLikeTheKilledOnes() {
    served(0, 10);
    history.disturbed(Disruption.Kind.STARTING, 0, 19_500, 22_000);
    history.disturbed(Disruption.Kind.KILLED, 1, 20_000, 22_000);
    refused(40_000, 10);

    assertBroken(Promise.SERVED_AGAIN);
  }

  @Test
  void callsThatAreServedAfterAllVmsAreBackAreChecked() {
    served(0, 10);
    killAll();
    served(40_000, 10);

    assertBroken();
    assertEquals(HistoryBuilder.VMS, history.judge().checked(Promise.SERVED_AGAIN));
  }

  @Test
  void aStoreThatIsAwayEndsTheTimeInWhichCallsHaveToBeServed() {
    served(0, 10);
    killAll();
    refused(40_000, 10);
    history.disturbed(Disruption.Kind.STORE_AWAY, Disruption.ALL, 38_000, 60_000);

    assertBroken();
  }

  @Test
  void aProcessThatEndsByItselfIsFound() {
    history.whole(JOB, 1000).selfEnded("vm-1 ended by itself");

    assertBroken(Promise.KEEPS_RUNNING);
  }

  private void killAll() {
    for (int vm = 0; vm < HistoryBuilder.VMS; vm++) {
      history.disturbed(Disruption.Kind.KILLED, vm, 20_000, 22_000);
    }
  }

  private void served(long from, int count) {
    for (int i = 0; i < count; i++) {
      history.whole("%016x".formatted(from + i), from + 100L * i);
    }
  }

  private void refused(long from, int count) {
    for (int i = 0; i < count; i++) {
      String job = "%016x".formatted(from + i);
      history.job(job).call(Kind.SUBMIT, job, from + 100L * i, 503, "");
    }
  }

  @Test
  void aJobThatFailsAfterOneCrashIsFound() {
    history.accepted(JOB, 1000).crashed(FIRST, 1, 1100);
    history.call(Kind.STATUS, JOB, 8000, 200, "failed");

    assertBroken(Promise.ACCEPTED_IS_KNOWN);
  }

  @Test
  void aTaskMayBeGivenUpAfterTwoCrashes() {
    history.accepted(JOB, 1000).crashed(FIRST, 1, 1100).crashed(FIRST, 2, 5000);
    history.call(Kind.STATUS, JOB, 8000, 200, "failed");

    assertBroken();
  }

  @Test
  void aThirdStartAfterThreeCrashesIsFound() {
    history.acceptedWith(JOB, PlannedJob.CRASHES + "20 job", 1000);
    for (int run = 1; run <= 6; run++) {
      history.crashed(FIRST, run, 1000L + 4000L * run);
    }
    history.call(Kind.STATUS, JOB, 40_000, 200, "failed");

    assertBroken(Promise.CRASHES_BOUNDED);
  }
}
