package org.fescuehook.logic.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.fescuehook.logic.trace.JobOutcome;
import org.fescuehook.logic.trace.Replayer;
import org.fescuehook.logic.trace.Trace;

/** Random histories, each with a pair of faults. jqwik prints the seed of a failed run. */
class SchedulerPropertyTest {

  private static final int HISTORIES = 10_000;

  @Property(tries = HISTORIES, seed = "-7524066022649029302", shrinking = ShrinkingMode.OFF)
  void everyDecisionKeepsTheBooksAndTheGuarantees(@ForAll long seed) {
    Trace trace = new RandomHistory(seed).write();
    PlanAuditor auditor = new PlanAuditor();
    Replayer replayer =
        new Replayer(
            trace, new GuaranteeScheduler(), Optional.of(new FaultyWorkerDetector()), auditor);

    List<JobOutcome> outcomes = replayer.replay();

    assertEquals(List.of(), auditor.faults(), () -> "seed " + seed);
    for (JobOutcome o : outcomes) {
      assertTrue(o.end() != JobOutcome.End.UNFINISHED, () -> "seed " + seed + ": " + o);
    }
  }
}
