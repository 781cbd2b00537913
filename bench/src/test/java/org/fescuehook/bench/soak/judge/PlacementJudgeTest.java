package org.fescuehook.bench.soak.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.fescuehook.standins.platform.FleetStandIn;
import org.junit.jupiter.api.Test;

class PlacementJudgeTest {

  private static final String JOB = "00000000000000aa";
  private static final String FIRST = JOB + ".0.0.0";
  private static final String SECOND = JOB + ".0.0.1";

  private final HistoryBuilder history = new HistoryBuilder();

  private static PlannedJob.Step step(Optional<String> label, int maxPerExecutor) {
    return new PlannedJob.Step(2, List.of(), new PlannedJob.Placement(label, maxPerExecutor));
  }

  private void assertBroken(PlannedJob.Step step, long secondStart, Promise... expected) {
    history
        .accepted(JOB, step, 1000)
        .ran(FIRST, 1, 2000, 3000)
        .ran(SECOND, 1, secondStart, 4000)
        .call(Kind.STATUS, JOB, 5000, 200, "completed");
    assertEquals(Set.of(expected), history.broken());
  }

  @Test
  void aTaskOverTheLimitOfItsStepIsFound() {
    assertBroken(step(Optional.empty(), 1), 2999, Promise.PLACEMENT);
  }

  @Test
  void aTaskThatStartsWhenTheOtherHasEndedIsWithinTheLimit() {
    assertBroken(step(Optional.empty(), 1), 3000);
  }

  @Test
  void asManyTasksAsAreAllowedRunTogether() {
    assertBroken(step(Optional.empty(), 2), 2500);
  }

  @Test
  void aTaskOnAnExecutorWithoutItsLabelIsFound() {
    assertBroken(step(Optional.of("rack-9"), 0), 2500, Promise.PLACEMENT);
  }

  @Test
  void aTaskOnAnExecutorWithItsLabelIsFine() {
    String label = FleetStandIn.labelsOfExecutor(1).getLast();
    assertBroken(step(Optional.of(label), 0), 2500);
  }
}
