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

/** Replays random traces, each with two faults. On a failure jqwik prints the seed of the run. */
class SchedulerPropertyTest {

  private static final int TRIES = 10_000;

  @Property(tries = TRIES, seed = "-7524066022649029302", shrinking = ShrinkingMode.OFF)
  void plansRespectCapacitiesAndKeepGuaranteesClaimable(@ForAll long seed) {
    Trace trace = new RandomTrace(seed).generate();
    PlanAuditor auditor = new PlanAuditor();
    Replayer replayer =
        new Replayer(
            trace, new GuaranteeScheduler(), Optional.of(new FaultyWorkerDetector()), auditor);

    List<JobOutcome> outcomes = replayer.replay();

    assertEquals(List.of(), auditor.violations(), () -> "seed " + seed);
    for (JobOutcome o : outcomes) {
      assertTrue(o.end() != JobOutcome.End.UNFINISHED, () -> "seed " + seed + ": " + o);
    }
  }
}
