package org.fescuehook.bench.soak.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.junit.jupiter.api.Test;

class ServiceJudgeTest {

  private static final String JOB = "00000000000000aa";
  private static final String OTHER = "00000000000000bb";

  private final HistoryBuilder history = new HistoryBuilder();

  private static PlannedJob.Step tasks(int count) {
    return new PlannedJob.Step(count, List.of());
  }

  private HistoryBuilder startedAt(long millis) {
    return history
        .acceptedBySmallService(JOB, tasks(1), 10_000)
        .ran(JOB + ".0.0.0", 1, millis, millis + 100)
        .call(Kind.STATUS, JOB, millis + 200, 200, "completed");
  }

  @Test
  void aJobOfAnIdleServiceThatStartsLateIsFound() {
    assertEquals(Set.of(Promise.SERVICES_APART), startedAt(13_100).broken());
  }

  @Test
  void aJobThatStartsInTimeIsFine() {
    assertEquals(Set.of(), startedAt(12_900).broken());
  }

  @Test
  void aJobMayWaitAfterADisturbance() {
    startedAt(13_100).disturbed(Disruption.Kind.EXECUTOR, 1, 3500, 4000);
    assertEquals(Set.of(), history.broken());
  }

  @Test
  void aJobMayWaitWhileMostOfItsServiceIsInUse() {
    history.acceptedBySmallService(OTHER, tasks(3), 9000);
    for (int task = 0; task < 3; task++) {
      history.ran(OTHER + ".0.0." + task, 1, 9100, 13_050);
    }
    history.call(Kind.STATUS, OTHER, 13_200, 200, "completed");
    assertEquals(Set.of(), startedAt(13_100).broken());
  }
}
