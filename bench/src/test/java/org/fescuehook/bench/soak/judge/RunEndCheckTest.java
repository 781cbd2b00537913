package org.fescuehook.bench.soak.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.fescuehook.standins.platform.RunEvent;
import org.junit.jupiter.api.Test;

/** Times of ends are given by whole calls, which take 10 ms. */
class RunEndCheckTest {

  private static final String JOB = "00000000000000aa";
  private static final String FIRST = JOB + ".0.0.0";
  private static final int EXECUTOR = 1;
  private static final int OTHER_EXECUTOR = 2;

  private final HistoryBuilder history = new HistoryBuilder();

  private void run(long from, long to) {
    history.started(FIRST, 1, from).event(RunEvent.Kind.ENDED, FIRST, 1, "stopped", to);
  }

  private void cancelledRun(long from, long to) {
    history.accepted(JOB, 1000).call(Kind.CANCEL, JOB, 1990, 200, "");
    run(from, to);
  }

  private void assertFound(Promise... promises) {
    Findings findings = history.judge();
    for (Promise promise : List.of(Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS)) {
      assertTrue(findings.checked(promise) > 0, promise.name());
      assertEquals(
          List.of(promises).contains(promise) ? 1 : 0,
          findings.broken(promise).size(),
          () -> promise + " " + findings.broken(promise));
    }
  }

  private void assertAllowed() {
    assertFound();
  }

  @Test
  void aRunThatOutlivesACancelledJobIsFound() {
    cancelledRun(1500, 5201);

    assertFound(Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS);
  }

  @Test
  void aRunThatIsStoppedInTimeIsAllowed() {
    cancelledRun(1500, 5200);

    assertAllowed();
  }

  @Test
  void aRunOfAJobWhoseSubmissionFollowsACancelAnsweredAsUnknownIsFound() {
    history.job(JOB).call(Kind.CANCEL, JOB, 1990, 410, "").call(Kind.SUBMIT, JOB, 2100, 200, "");
    run(2150, 8351);

    assertFound(Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS);
  }

  @Test
  void aCancelThatIsNotAcknowledgedBindsNobody() {
    history
        .accepted(JOB, 1000)
        .call(Kind.CANCEL, JOB, 1990, 503, "")
        .call(Kind.CANCEL, JOB, 19_990, 200, "");
    run(1500, 20_100);

    assertAllowed();
  }

  @Test
  void aRunThatOutlivesAFailedJobIsFound() {
    history.accepted(JOB, 1000).call(Kind.STATUS, JOB, 1990, 200, "failed");
    run(1500, 5201);

    assertFound(Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS);
  }

  @Test
  void aRunThatOutlivesACompletedJobIsFound() {
    history.whole(JOB, 1000);
    history.started(FIRST, 2, 1100).event(RunEvent.Kind.ENDED, FIRST, 2, "done", 6000);

    assertFound(Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS);
  }

  @Test
  void aRunOfAnOpenJobMayLastAsLongAsItLikes() {
    history
        .accepted(JOB, 1000)
        .call(Kind.STATUS, JOB, 1990, 200, "in_progress")
        .call(Kind.STATUS, JOB, 49_990, 200, "completed");
    run(1500, 50_000);

    assertAllowed();
  }

  @Test
  void aRunThatBeginsAfterTheCancellingHasToBeFoundAndStopped() {
    cancelledRun(4000, 10_201);

    assertFound(Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS);
  }

  @Test
  void aRunThatBeginsAfterTheCancellingMayLastUntilItIsFound() {
    cancelledRun(4000, 10_200);

    assertAllowed();
  }

  @Test
  void aRunThatIsNotOverWhenTheRecordEndsIsFound() {
    history.accepted(JOB, 1000).call(Kind.CANCEL, JOB, 1990, 200, "").started(FIRST, 1, 1500);

    assertFound(Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS);
  }

  @Test
  void aRecordThatEndsSoonAfterTheCancellingTellsNothing() {
    history
        .accepted(JOB, 1000)
        .call(Kind.CANCEL, JOB, HistoryBuilder.END - 3210, 200, "")
        .started(FIRST, 1, 1500);

    assertAllowed();
  }

  @Test
  void aDisturbedStretchDoesNotCount() {
    for (Disruption.Kind kind :
        List.of(
            Disruption.Kind.KILLED,
            Disruption.Kind.PAUSED,
            Disruption.Kind.LINK,
            Disruption.Kind.STORE_SLOW,
            Disruption.Kind.STORE_AWAY,
            Disruption.Kind.STORE_LOSSY)) {
      HistoryBuilder disturbed =
          new HistoryBuilder()
              .accepted(JOB, 1000)
              .call(Kind.CANCEL, JOB, 1990, 200, "")
              .started(FIRST, 1, 1500)
              .event(RunEvent.Kind.ENDED, FIRST, 1, "stopped", 8000)
              .disturbed(kind, 1, 5000, 5100);

      assertEquals(List.of(), disturbed.judge().broken(Promise.RUNS_END), kind.name());
    }
  }

  @Test
  void aQuietStretchAfterADisturbedOneCounts() {
    cancelledRun(1500, 8302);
    history.disturbed(Disruption.Kind.KILLED, 1, 5000, 5100);

    assertFound(Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS);
  }

  @Test
  void aQuietStretchLongAfterTheCancellingCounts() {
    cancelledRun(1500, 19_300);
    for (int at = 2000; at < 16_000; at += 3000) {
      history.disturbed(Disruption.Kind.STORE_SLOW, Disruption.ALL, at, at + 1000);
    }

    assertFound(Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS);
  }

  @Test
  void aPlannedStopOfAVmExcusesOnlyInTheUsersRule() {
    cancelledRun(1500, 8000);
    history.disturbed(Disruption.Kind.STOPPED, 0, 2500, 4000);
    history.disturbed(Disruption.Kind.STARTING, 0, 4000, 6000);

    assertFound(Promise.RUNS_END_BESIDE_STOPS);
  }

  @Test
  void aDisturbedExecutorExcusesItsRuns() {
    cancelledRun(1500, 8000);
    history.disturbed(Disruption.Kind.EXECUTOR, EXECUTOR, 3000, 5000);

    assertAllowed();
  }

  @Test
  void aDisturbedExecutorExcusesNoRunOfAnother() {
    cancelledRun(1500, 8000);
    history.disturbed(Disruption.Kind.EXECUTOR, OTHER_EXECUTOR, 3000, 5000);

    assertFound(Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS);
  }

  @Test
  void theVmThatStartedTheRunMayBeGone() {
    cancelledRun(1500, 50_000);
    history.disturbed(Disruption.Kind.KILLED, 0, 2100, 2200);

    assertFound(Promise.RUNS_END, Promise.RUNS_END_BESIDE_STOPS);
  }
}
