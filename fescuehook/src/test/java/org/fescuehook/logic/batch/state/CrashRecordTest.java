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
    for (CrashEvidence loss : losses) {
      record = record.plus(loss);
    }
    return record;
  }

  @Test
  void nothingIsGivenUpAfterOneLoss() {
    for (CrashEvidence evidence : CrashEvidence.values()) {
      assertFalse(after(evidence).hopeless(), evidence::tag);
    }
  }

  @Test
  void everythingIsGivenUpBeforeTheBoundWhateverIsKnownOfTheLosses() {
    List<CrashEvidence> counted =
        List.of(CrashEvidence.WEAK, CrashEvidence.STRONG, CrashEvidence.STRONG_ALONE);
    int kinds = counted.size();
    for (int code = 0; code < Math.pow(kinds, BOUND); code++) {
      CrashEvidence[] losses = new CrashEvidence[BOUND];
      int rest = code;
      for (int i = 0; i < BOUND; i++) {
        losses[i] = counted.get(rest % kinds);
        rest /= kinds;
      }
      assertTrue(after(losses).hopeless(), () -> List.of(losses).toString());
    }
  }

  @Test
  void twoEarlyCrashesAreEnoughOnlyIfNothingElseMayHaveCausedTheLast() {
    assertTrue(after(CrashEvidence.STRONG, CrashEvidence.STRONG_ALONE).hopeless());
    assertFalse(after(CrashEvidence.STRONG_ALONE, CrashEvidence.STRONG).hopeless());
  }

  @Test
  void aLossThatDoesNotSpeakAgainstTheTaskChangesNothing() {
    assertEquals(CrashRecord.NONE, after(CrashEvidence.NONE));
  }
}
