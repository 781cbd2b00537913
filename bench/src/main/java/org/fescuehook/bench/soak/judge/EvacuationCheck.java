package org.fescuehook.bench.soak.judge;

import java.util.List;
import org.fescuehook.standins.platform.FleetStandIn;

/**
 * Checks that no task started in an evacuated failure domain. A VM that was killed does not excuse
 * it: a VM that starts reads what is evacuated before it orders anything.
 */
final class EvacuationCheck {

  /** From this time after the acknowledgement of an evacuation no task may start there. */
  private static final long EVACUATION_MILLIS = 5000;

  private final History history;
  private final Findings findings;
  private final List<Disruption> evacuations;

  EvacuationCheck(History history, Findings findings) {
    this.history = history;
    this.findings = findings;
    this.evacuations =
        history.disruptions().stream().filter(d -> d.kind() == Disruption.Kind.EVACUATION).toList();
  }

  /** Checks a start against each evacuation in force, of its failure domain or another one. */
  void check(TaskRun run) {
    long start = run.startMillis();
    if (run.late() || !history.storeReadable(start, start)) {
      return;
    }
    for (Disruption evacuation : evacuations) {
      if (evacuation.overlaps(start, start)) {
        boolean allowed = !inDomain(run, evacuation) || start <= boundOf(evacuation);
        findings.check(Promise.EVACUATION, allowed, run + " in " + evacuation);
      }
    }
  }

  private static boolean inDomain(TaskRun run, Disruption evacuation) {
    String evacuated = FleetStandIn.zones().get(evacuation.number());
    return evacuated.equals(FleetStandIn.zoneOfExecutor(run.executorNumber()));
  }

  private static long boundOf(Disruption evacuation) {
    return evacuation.fromMillis() + EVACUATION_MILLIS;
  }
}
