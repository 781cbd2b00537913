package org.fescuehook.logic.batch.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.statistics.ExecutorStanding;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;
import org.junit.jupiter.api.Test;

/** Guards against starts on doubted executors that cost a job its attempts. */
class StartRequirementTest {

  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final int ATTEMPTS = 3;

  private static final ExecutorStanding SOUND =
      new ExecutorStanding(0.02, false, 0, OptionalLong.empty(), OptionalLong.empty());
  private static final ExecutorStanding PROVEN =
      new ExecutorStanding(0.02, false, 0, OptionalLong.empty(), OptionalLong.of(5 * SECOND));
  private static final ExecutorStanding IN_WAVE =
      new ExecutorStanding(0.33, false, 0, OptionalLong.empty(), OptionalLong.empty());
  private static final ExecutorStanding DOUBTED =
      new ExecutorStanding(0.2, true, 0, OptionalLong.empty(), OptionalLong.empty());
  private static final ExecutorStanding JUST_SEEN_FAULTY =
      new ExecutorStanding(0.9, true, 0, OptionalLong.of(11 * SECOND), OptionalLong.empty());
  private static final ExecutorStanding FAULTY =
      new ExecutorStanding(0.9, true, 0, OptionalLong.empty(), OptionalLong.empty());

  /** A fault that was seen from then on may be present still. */
  private static final OptionalLong PRESENT_SINCE = OptionalLong.of(10 * SECOND);

  private static StepProgress step(boolean gang, int failures) {
    BatchStep spec =
        new BatchStep(
            4,
            new ResourceVector(1000, 1000, 1),
            2000,
            List.of(),
            BatchStep.PlacementRule.ANYWHERE,
            false,
            gang,
            "image");
    JobQueue queue = new JobQueue("q", "pool", 2, ATTEMPTS, 3, 1000, false, false);
    Submission submission = new Submission("spec", List.of(spec), Optional.empty());
    StepProgress step =
        new ActiveJob(new BatchJob("%016x".formatted(1), queue, "o", 0, submission))
            .steps()
            .getFirst();
    for (int run = 1; run <= failures; run++) {
      step.fail(
          step.tasks().getFirst(), run, Incarnation.ofUnknownStart(new ExecutorId("e" + run)), 0);
    }
    return step;
  }

  private static StartRequirement requirement(
      StepProgress step, long waitedSeconds, long queuedSeconds) {
    return StartRequirement.of(
        waiting(step, 2, waitedSeconds, queuedSeconds), OptionalLong.of(4 * SECOND), PRESENT_SINCE);
  }

  private static WaitingStep waiting(
      StepProgress step, int priority, long waitedSeconds, long queuedSeconds) {
    StepTiming timing =
        new StepTiming(waitedSeconds * SECOND, queuedSeconds * SECOND, 10 * SECOND, 12 * SECOND);
    return new WaitingStep(
        step, step.waiting(), "pool", Rank.ofPriority(priority), 0, timing, Optional.empty());
  }

  @Test
  void theLastAttemptStartsOnlyWhereARunHasEndedWellSinceTheLastFailure() {
    StartRequirement requirement = requirement(step(true, ATTEMPTS - 1), 20, 1);
    assertTrue(requirement.accepts(PROVEN));
    assertFalse(requirement.accepts(SOUND));
    ExecutorStanding provenEarlier =
        new ExecutorStanding(0.02, false, 0, OptionalLong.empty(), OptionalLong.of(3 * SECOND));
    assertFalse(requirement.accepts(provenEarlier));
    assertTrue(requirement.withoutProof().accepts(SOUND));
    assertFalse(requirement.withoutProof().accepts(IN_WAVE));
  }

  /** Guards against a limit of attempts that differs from the one by which the job fails. */
  @Test
  void theAttemptsLeftFollowFromTheQueueAsDeclaredNow() {
    StepProgress gang = step(true, 1);
    WaitingStep accepted = waiting(gang, 2, 1, 1);
    WaitingStep declared =
        new WaitingStep(
            gang,
            accepted.tasks(),
            accepted.pool(),
            accepted.rank(),
            0,
            accepted.timing(),
            Optional.empty(),
            2,
            StartRequirement.ANY,
            Avoidance.NONE);
    assertTrue(
        StartRequirement.of(accepted, OptionalLong.empty(), OptionalLong.empty()).accepts(SOUND));
    assertFalse(
        StartRequirement.of(declared, OptionalLong.empty(), OptionalLong.empty()).accepts(SOUND));
  }

  @Test
  void theFirstAttemptOfAGangAvoidsDoubtedExecutorsWhileItHasTime() {
    StartRequirement early = requirement(step(true, 0), 1, 1);
    assertTrue(early.accepts(SOUND));
    assertTrue(early.accepts(IN_WAVE));
    assertFalse(early.accepts(DOUBTED));
    StartRequirement late = requirement(step(true, 0), 9, 9);
    assertTrue(late.accepts(DOUBTED));
    assertFalse(late.strict().accepts(DOUBTED));
    assertFalse(late.accepts(FAULTY));
  }

  @Test
  void singleTasksWithAnAttemptToSpareTryDoubtedExecutors() {
    StartRequirement requirement = requirement(step(false, 1), 1, 1);
    assertTrue(requirement.accepts(FAULTY));
    assertEquals(1, requirement.maxTrials(4));
    assertEquals(4, requirement.maxTrials(39));
    assertFalse(requirement(step(false, ATTEMPTS - 1), 1, 1).accepts(FAULTY));
  }

  @Test
  void noStepWaitsForReliableExecutorsForEver() {
    assertTrue(requirement(step(true, ATTEMPTS - 1), 16, 16).accepts(FAULTY));
    assertTrue(requirement(step(true, ATTEMPTS - 1), 31, 31).accepts(JUST_SEEN_FAULTY));
    assertTrue(requirement(step(true, 0), 16, 16).accepts(JUST_SEEN_FAULTY));
  }

  /** Guards against a job that is given up for an executor which has just failed other runs. */
  @Test
  void theLastAttemptDoesNotStartAfterSomeTimeWhereAFaultMayBePresent() {
    StepProgress gang = step(true, ATTEMPTS - 1);
    assertFalse(requirement(gang, 16, 16).accepts(JUST_SEEN_FAULTY));
    StartRequirement inWave =
        StartRequirement.of(waiting(gang, 2, 16, 16), OptionalLong.empty(), OptionalLong.empty());
    assertFalse(inWave.accepts(FAULTY));
    assertTrue(inWave.accepts(IN_WAVE));
  }

  /** Guards against a last attempt that waits in an idle service until doubts have faded. */
  @Test
  void theLastAttemptMayUseExecutorsWhoseFaultIsPast() {
    StartRequirement lowest =
        requirement(step(true, ATTEMPTS - 1), 3, 3).relaxations(PRESENT_SINCE).getLast();
    assertTrue(lowest.accepts(FAULTY));
    assertFalse(lowest.accepts(JUST_SEEN_FAULTY));
    assertFalse(lowest.limitsTrials());
  }
}
