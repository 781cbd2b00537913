package org.fescuehook.logic.batch.executor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.fescuehook.logic.batch.BatchContext;
import org.junit.jupiter.api.Test;

class AnswerStatisticsTest {

  private static final long ANSWER_NANOS = Duration.ofMillis(5).toNanos();

  private static final long NANOS_OF_TWO_ORDERS = Duration.ofMillis(1200).toNanos();

  private final BatchContext context = new BatchContext(0, 0);
  private final AnswerStatistics answers = new AnswerStatistics(Duration.ofSeconds(3));

  /** Records answers of which a share comes after an unanswered order. */
  private void answered(int count, int unansweredOfTen) {
    for (int i = 0; i < count; i++) {
      boolean afterLoss = i % 10 < unansweredOfTen;
      if (afterLoss) {
        answers.unanswered();
      }
      answers.answered(afterLoss ? 1 : 0, context);
      answers.orderAnswered(ANSWER_NANOS);
    }
  }

  @Test
  void oneUnansweredPollCountsWhileNoAnswersAreLost() {
    answered(100, 0);
    assertEquals(1, answers.pollsUntilSilent());
    assertFalse(answers.givesUpStart(2, NANOS_OF_TWO_ORDERS));
    assertTrue(answers.givesUpStart(3, 0));
    assertEquals(Duration.ofMillis(600), answers.orderTimeout());
  }

  @Test
  void oneLostAnswerInFiftyChangesNothing() {
    for (int i = 0; i < 10; i++) {
      answered(49, 0);
      answers.unanswered();
      answers.answered(1, context);
    }
    assertEquals(1, answers.pollsUntilSilent());
    assertEquals(Duration.ofMillis(600), answers.orderTimeout());
  }

  @Test
  void executorsThatReturnAfterLongSilenceAreNoSignOfLostAnswers() {
    for (int i = 0; i < 50; i++) {
      answers.answered(20, context);
    }
    assertEquals(1, answers.pollsUntilSilent());
  }

  @Test
  void theMoreAnswersAreLostTheMoreUnansweredPollsAreTolerated() {
    answered(100, 3);
    int few = answers.pollsUntilSilent();
    answered(100, 6);
    int most = answers.pollsUntilSilent();
    assertTrue(1 < few && few < most, () -> few + " and " + most);
  }

  /**
   * Guards against executors that are gone and keep their runs for longer while answers are lost.
   */
  @Test
  void anExecutorThatIsGoneCountsAsSilentAsSoonAsOtherwise() {
    long usual = answers.pollWait().plus(answers.pollMargin()).toMillis();
    answered(100, 6);
    long first = answers.pollWait().plus(answers.pollMargin()).toMillis();
    long later = (answers.pollsUntilSilent() - 1) * answers.pollMargin().toMillis();
    assertTrue(first + later <= usual + 150, () -> first + " and " + later + " ms");
  }

  /** Guards against gangs that are given up although their members still wait for each other. */
  @Test
  void startsAreOrderedAgainWhileAnswersAreLostUntilTheMembersOfAGangStopWaiting() {
    answered(100, 6);
    assertEquals(Duration.ofMillis(150), answers.orderTimeout());
    assertFalse(answers.givesUpStart(16, Duration.ofMillis(2400).toNanos()));
    assertTrue(answers.givesUpStart(17, Duration.ofMillis(2550).toNanos()));
  }

  @Test
  void startsAreGivenUpBeforeTheMembersOfAGangStopWaitingHoweverShortThatIs() {
    AnswerStatistics impatient = new AnswerStatistics(Duration.ofSeconds(1));
    assertFalse(impatient.givesUpStart(2, Duration.ofMillis(500).toNanos()));
    assertTrue(impatient.givesUpStart(3, Duration.ofMillis(600).toNanos()));
  }

  /** Guards against starts that are all given up at once as soon as a row of orders is lost. */
  @Test
  void aRowOfLostOrdersGivesUpNoStart() {
    answered(100, 6);
    for (int i = 0; i < 12; i++) {
      answers.unanswered();
    }
    assertFalse(answers.givesUpStart(5, Duration.ofMillis(750).toNanos()));
    assertFalse(answers.givesUpStart(5, Duration.ofMillis(2599).toNanos()));
    assertTrue(answers.givesUpStart(5, Duration.ofMillis(2600).toNanos()));
  }

  /** Guards against executors that are gone and count as alive for as long as polls are delayed. */
  @Test
  void anExecutorCountsAsSilentAfterSomeTimeHoweverFewPollsWereSent() {
    answered(100, 6);
    assertFalse(answers.silent(3, Duration.ofMillis(600).toNanos()));
    assertTrue(answers.silent(3, Duration.ofMillis(1200).toNanos()));
  }

  /** Guards against a fleet that was idle and is still taken for one whose answers are lost. */
  @Test
  void theShareIsForgottenAfterATimeWithoutAnswers() {
    answered(100, 6);
    answers.answered(0, new BatchContext(Duration.ofSeconds(6).toNanos(), 0));
    assertEquals(1, answers.pollsUntilSilent());
  }

  /**
   * Guards against timeouts that no answer meets any more, so that none shows how long it takes.
   */
  @Test
  void timeoutsAreLongAgainIfNothingIsAnsweredInTime() {
    answered(100, 6);
    for (int i = 0; i < 12; i++) {
      answers.unanswered();
    }
    assertEquals(Duration.ofMillis(600), answers.orderTimeout());
  }

  @Test
  void timeoutsFollowTheTimeThatAnswersTake() {
    answered(100, 6);
    for (int i = 0; i < 50; i++) {
      answers.orderAnswered(Duration.ofMillis(140).toNanos());
      answers.orderAnswered(Duration.ofMillis(100).toNanos());
    }
    Duration timeout = answers.orderTimeout();
    assertTrue(timeout.compareTo(Duration.ofMillis(150)) > 0, timeout::toString);
  }
}
