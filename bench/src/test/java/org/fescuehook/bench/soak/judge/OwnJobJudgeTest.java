package org.fescuehook.bench.soak.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.junit.jupiter.api.Test;

/** Breaks the promise that a call is answered about a job of its own caller only. */
class OwnJobJudgeTest {

  private static final String JOB = "00000000000000a1";

  private static HistoryBuilder accepted() {
    return new HistoryBuilder().accepted(JOB, 1000);
  }

  private static void assertJudged(int checked, int broken, HistoryBuilder history) {
    Findings findings = history.judge();
    assertEquals(checked, findings.checked(Promise.OWN_JOB_ONLY));
    assertEquals(broken, findings.broken(Promise.OWN_JOB_ONLY).size());
  }

  @Test
  void aStateOrAcceptanceOfAnothersJobBreaksIt() {
    assertJudged(1, 1, accepted().callOfOther(Kind.STATUS, JOB, 2000, 200, "completed"));
    assertJudged(1, 1, accepted().callOfOther(Kind.SUBMIT, JOB, 2000, 200, ""));
    assertJudged(1, 1, accepted().callOfOther(Kind.CANCEL, JOB, 2000, 200, ""));
  }

  @Test
  void refusalsAndUnknownJobsKeepIt() {
    assertJudged(1, 0, accepted().callOfOther(Kind.STATUS, JOB, 2000, 410, ""));
    assertJudged(1, 0, accepted().callOfOther(Kind.SUBMIT, JOB, 2000, 503, ""));
    assertJudged(1, 0, accepted().callOfOther(Kind.CANCEL, JOB, 2000, 410, ""));
  }

  @Test
  void anIdIsFreeBeforeTheAcceptanceAndAfterTheStateIsShown() {
    assertJudged(0, 0, accepted().callOfOther(Kind.SUBMIT, JOB, 900, 200, ""));
    assertJudged(0, 0, accepted().callOfOther(Kind.SUBMIT, JOB, 122_000, 200, ""));
  }
}
