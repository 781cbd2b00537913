package org.fescuehook.logic.batch.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;
import org.junit.jupiter.api.Test;

class CrashRecordTest {

  /** Most executors that one task may cost: three, and one in each of the two runs after that. */
  private static final int BOUND = 5;

  private static final Incarnation EXECUTOR = born("e1", 1);

  private static Incarnation born(String id, long millis) {
    return new Incarnation(new ExecutorId(id), OptionalLong.of(millis));
  }

  private static CrashRecord after(CrashEvidence... losses) {
    CrashRecord record = CrashRecord.NONE;
    int run = 0;
    for (CrashEvidence loss : losses) {
      run++;
      record = record.plus(loss, run, EXECUTOR);
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

  private static CrashRecord afterUnresolved(int losses) {
    CrashRecord record = CrashRecord.NONE;
    for (int run = 1; run <= losses; run++) {
      record = record.plus(CrashEvidence.UNRESOLVED, run, born("e" + run, 1));
    }
    return record;
  }

  @Test
  void aTaskWaitsWhileOnlyUnresolvedLossesReachTheLimit() {
    CrashRecord record = afterUnresolved(BOUND);
    assertFalse(afterUnresolved(BOUND - 1).mustWait(BOUND - 1));
    assertTrue(record.mustWait(BOUND));
    assertFalse(record.mustGiveUp(BOUND));
    assertFalse(record.withoutLossesOf(born("e2", 1)).mustWait(BOUND));
  }

  @Test
  void aTaskIsGivenUpOnceTheLossesUpToTheLimitAreCrashes() {
    CrashRecord record = afterUnresolved(BOUND);
    for (int i = 1; i <= BOUND; i++) {
      assertFalse(record.mustGiveUp(BOUND));
      record =
          i % 2 == 0
              ? record.withCrashesBefore(born("e" + i, 2))
              : record.withPresumedCrashOf(new ExecutorId("e" + i));
    }
    assertTrue(record.mustGiveUp(BOUND));
  }

  @Test
  void anotherIncarnationDoesNotShowThatTheLostOneSurvived() {
    CrashRecord record = afterUnresolved(1);
    assertEquals(record, record.withoutLossesOf(born("e1", 2)));
    assertEquals(record, record.withCrashesBefore(born("e1", 1)));
  }

  @Test
  void anExecutorThatWasTakenForCrashedMayReturn() {
    CrashRecord record = afterUnresolved(1).withPresumedCrashOf(new ExecutorId("e1"));
    assertEquals(CrashRecord.NONE, record.withoutLossesOf(born("e1", 1)));
    CrashRecord crashed = record.withCrashOf(born("e1", 1));
    assertEquals(crashed, crashed.withoutLossesOf(born("e1", 1)));
  }

  /** The third loss is counted in the order of the runs, however late it is known to be one. */
  @Test
  void theRunsAfterTheThirdLossAreCountedWithoutLossesThatWereNone() {
    CrashRecord record =
        CrashRecord.NONE
            .plus(CrashEvidence.UNRESOLVED, 1, born("e1", 1))
            .plus(CrashEvidence.WEAK, 2, born("e2", 1))
            .plus(CrashEvidence.WEAK, 3, born("e3", 1))
            .plus(CrashEvidence.UNRESOLVED, 4, born("e4", 1));
    assertTrue(record.mustWait(5));
    assertFalse(record.withoutLossesOf(born("e1", 1)).mustWait(5));
    assertTrue(record.withoutLossesOf(born("e1", 1)).mustWait(6));
    assertTrue(record.withCrashOf(born("e1", 1)).mustGiveUp(5));
  }
}
