package org.fescuehook.model.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.ThrowingSupplier;

/**
 * Guards against a search for the longest chain of steps that takes exponential time. A job with
 * tens of steps, each of which depends on all earlier ones, doubles the number of paths with each
 * step. Walking every path blocked the scheduling thread of the owner that accepted the job and of
 * each later owner while it loaded the jobs, so that one VM after the other was replaced as silent.
 */
class DenseDependenciesTest {

  private static final int STEPS = 30;
  private static final Duration LIMIT = Duration.ofSeconds(2);

  private static BatchStep step(int number) {
    return new BatchStep(
        1,
        new ResourceVector(1000, 1000, 0),
        10,
        IntStream.range(0, number).boxed().toList(),
        BatchStep.PlacementRule.ANYWHERE,
        false,
        false,
        "image");
  }

  @Test
  void theLongestChainOfDenselyDependentStepsIsFoundQuickly() {
    List<BatchStep> steps = new ArrayList<>();
    for (int number = 0; number < STEPS; number++) {
      steps.add(step(number));
    }
    Submission submission = new Submission("spec", steps, Optional.empty());
    ThrowingSupplier<Long> longest = () -> submission.estimatedChainMillis();
    long found = assertTimeoutPreemptively(LIMIT, longest);
    assertEquals(10L * STEPS, found);
  }
}
