package org.fescuehook.logic.batch.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.statistics.StartEvidence;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.junit.jupiter.api.Test;

/** Guards against work that waits for ever because its executors are doubted. */
class DoubtedExecutorPlanTest {

  private static final long LONG_WAIT = Duration.ofSeconds(16).toNanos();

  private final PlanFixture fixture =
      new PlanFixture(
          1, 1, new SchedulingPreferences(false, false, true, false, false, false, false));

  @Test
  void aStepThatStartsOnAnyExecutorIsNotLimitedByTrials() {
    BatchContext context = new BatchContext(PlanFixture.NOW, 0);
    for (StartEvidence evidence : StartEvidence.values()) {
      fixture
          .statistics
          .reliability()
          .observed(fixture.executors.getFirst().incarnation(), evidence, context);
    }
    fixture.submit("o", 0, PlanFixture.gang(3, 1, 2000), LONG_WAIT);
    assertEquals(3, fixture.plan().starts().size());
  }
}
