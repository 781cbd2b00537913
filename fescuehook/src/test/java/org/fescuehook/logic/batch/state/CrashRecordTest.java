package org.fescuehook.logic.batch.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.junit.jupiter.api.Test;

class CrashRecordTest {

  /** Executors that may crash under a task before it is started too often: three, and two more. */
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

  private static boolean hopeless(CrashEvidence... losses) {
    return after(losses).hopeless(losses.length);
  }

  @Test
  void nothingIsGivenUpAfterOneLoss() {
    for (CrashEvidence evidence : CrashEvidence.values()) {
      assertFalse(hopeless(evidence), evidence::tag);
    }
  }

  @Test
  void everythingIsGivenUpBeforeTheBoundWhateverIsKnownOfTheLosses() {
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
      assertTrue(hopeless(losses), () -> List.of(losses).toString());
    }
  }

  @Test
  void twoEarlyCrashesAreEnoughOnlyIfNothingElseMayHaveCausedTheLast() {
    assertTrue(hopeless(CrashEvidence.STRONG, CrashEvidence.STRONG_ALONE));
    assertFalse(hopeless(CrashEvidence.STRONG_ALONE, CrashEvidence.STRONG));
  }

  @Test
  void aLossThatDoesNotSpeakAgainstTheTaskChangesNothing() {
    assertEquals(CrashRecord.NONE, after(CrashEvidence.NONE));
  }

  /** A start that ends otherwise, as that of a gang of which another member crashed, counts too. */
  @Test
  void twoRunsAfterTheThirdLossAreTheLastWhateverBecomesOfThem() {
    CrashRecord record = after(CrashEvidence.WEAK, CrashEvidence.WEAK, CrashEvidence.DOUBTFUL);
    assertFalse(record.hopeless(4));
    assertTrue(record.hopeless(5));
  }

  @Test
  void aRunAfterTheThirdLossThatWasNotSentIsNotCounted() {
    CrashRecord record = after(CrashEvidence.WEAK, CrashEvidence.WEAK, CrashEvidence.DOUBTFUL);
    assertFalse(record.withoutRun().hopeless(5));
    assertTrue(record.withoutRun().hopeless(6));
  }

  @Test
  void aRunBeforeTheThirdLossThatWasNotSentChangesNothing() {
    CrashRecord record = after(CrashEvidence.WEAK, CrashEvidence.WEAK);
    assertEquals(record, record.withoutRun());
  }

  /** It was cut off each time, or a former owner had started it: perhaps no executor crashed. */
  @Test
  void runsAreNotCountedWhileNoTwoExecutorsAreKnownToHaveCrashed() {
    CrashRecord record = after(CrashEvidence.DOUBTFUL, CrashEvidence.DOUBTFUL, CrashEvidence.WEAK);
    assertFalse(record.hopeless(20));
  }
}
