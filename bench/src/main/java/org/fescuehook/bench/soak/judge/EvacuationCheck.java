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

  void check(TaskRun run) {
    for (Disruption evacuation : evacuations) {
      if (concerns(evacuation, run)
          && history.storeReadable(run.startMillis(), run.startMillis())) {
        boolean allowed = run.startMillis() <= evacuation.fromMillis() + EVACUATION_MILLIS;
        findings.check(Promise.EVACUATION, allowed, run + " in " + evacuation);
      }
    }
  }

  private static boolean concerns(Disruption evacuation, TaskRun run) {
    String zone = FleetStandIn.zones().get(evacuation.number());
    return !run.late()
        && zone.equals(FleetStandIn.zoneOfExecutor(run.executorNumber()))
        && evacuation.overlaps(run.startMillis(), run.startMillis());
  }
}
