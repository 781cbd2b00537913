package org.fescuehook.logic.batch.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.junit.jupiter.api.Test;

class CrashRecordTest {

  /** Most executors that one task may cost: three, and one in each of the two runs after that. */
  private static final int BOUND = 5;

  private static CrashRecord after(CrashEvidence... losses) {
    CrashRecord record = CrashRecord.NONE;
    int run = 0;
    for (CrashEvidence loss : losses) {
      run++;
      record = record.plus(loss, run);
    }
    return record;
  }

  private static boolean mustGiveUp(CrashEvidence... losses) {
    return after(losses).mustGiveUp(losses.length);
  }

  @Test
  void aTaskIsNotGivenUpAfterOneLoss() {
    for (CrashEvidence evidence : CrashEvidence.values()) {
      assertFalse(mustGiveUp(evidence), evidence::tag);
    }
  }

  @Test
  void aTaskIsGivenUpAfterFiveLossesWhateverTheEvidence() {
    List<CrashEvidence> counted =
        List.of(
            CrashEvidence.DOUBTFUL,
            CrashEvidence.WEAK,
            CrashEvidence.STRONG,
            CrashEvidence.STRONG_ALONE);
    int kinds = counted.size();
    for (int code = 0; code < Math.pow(kinds, BOUND); code++) {
      CrashEvidence[] losses = new CrashEvidence[BOUND];
      int rest = code;
      for (int i = 0; i < BOUND; i++) {
        losses[i] = counted.get(rest % kinds);
        rest /= kinds;
      }
      assertTrue(mustGiveUp(losses), () -> List.of(losses).toString());
    }
  }

  @Test
  void twoEarlyCrashesSufficeOnlyIfTheTaskRanAloneInTheLatest() {
    assertTrue(mustGiveUp(CrashEvidence.STRONG, CrashEvidence.STRONG_ALONE));
    assertFalse(mustGiveUp(CrashEvidence.STRONG_ALONE, CrashEvidence.STRONG));
  }

  @Test
  void aLossThatIsNoEvidenceAgainstTheTaskIsNotCounted() {
    assertEquals(CrashRecord.NONE, after(CrashEvidence.NONE));
  }

  /** Runs that end in another way count too, such as those of a gang that lost another member. */
  @Test
  void aTaskIsGivenUpTwoRunsAfterTheThirdLossHoweverTheseEnd() {
    CrashRecord record = after(CrashEvidence.WEAK, CrashEvidence.WEAK, CrashEvidence.DOUBTFUL);
    assertFalse(record.mustGiveUp(4));
    assertTrue(record.mustGiveUp(5));
  }

  @Test
  void aRunAfterTheThirdLossThatWasNeverSentIsNotCounted() {
    CrashRecord record = after(CrashEvidence.WEAK, CrashEvidence.WEAK, CrashEvidence.DOUBTFUL);
    assertFalse(record.withoutRun().mustGiveUp(5));
    assertTrue(record.withoutRun().mustGiveUp(6));
  }

  @Test
  void aRunBeforeTheThirdLossThatWasNeverSentChangesNothing() {
    CrashRecord record = after(CrashEvidence.WEAK, CrashEvidence.WEAK);
    assertEquals(record, record.withoutRun());
  }

  /**
   * If the executors were merely unreachable, or a former owner had started the runs, perhaps no
   * executor crashed.
   */
  @Test
  void runsAreNotLimitedWhileFewerThanTwoExecutorsCrashedForCertain() {
    CrashRecord record = after(CrashEvidence.DOUBTFUL, CrashEvidence.DOUBTFUL, CrashEvidence.WEAK);
    assertFalse(record.mustGiveUp(20));
  }
}
