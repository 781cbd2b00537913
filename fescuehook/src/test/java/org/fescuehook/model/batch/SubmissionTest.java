package org.fescuehook.model.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SubmissionTest {

  private static BatchStep step(long millis, Integer... dependsOn) {
    return new BatchStep(
        2,
        new ResourceVector(1000, 100, 1),
        millis,
        List.of(dependsOn),
        BatchStep.PlacementRule.ANYWHERE,
        false,
        false,
        "image");
  }

  /** Steps 0 and 1 side by side, 2 after 1, and 3 after 0 and 2. */
  private static final Submission DIAMOND =
      new Submission(
          "spec", List.of(step(500), step(100), step(200, 1), step(40, 0, 2)), Optional.empty());

  @Test
  void theLongestChainFollowsTheDependencies() {
    assertEquals(540, DIAMOND.estimatedChainMillis());
  }

  @Test
  void theChainFromAStepLeavesEarlierStepsOut() {
    assertEquals(340, DIAMOND.estimatedChainMillis(1));
    assertEquals(40, DIAMOND.estimatedChainMillis(3));
  }

  @Test
  void tasksOfAllOccurrencesCount() {
    Submission repeated =
        new Submission("spec", List.of(step(10)), Optional.of(new Submission.Schedule(0, 1000, 3)));
    assertEquals(6, repeated.tasks());
  }
}
