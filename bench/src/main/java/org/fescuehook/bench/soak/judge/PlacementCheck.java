package org.fescuehook.bench.soak.judge;

import java.util.List;
import java.util.Map;
import org.fescuehook.standins.platform.FleetStandIn;

/** Checks that tasks started only where their steps allow it. */
final class PlacementCheck {

  private final Map<String, List<TaskRun>> runs;
  private final Findings findings;

  PlacementCheck(Map<String, List<TaskRun>> runs, Findings findings) {
    this.runs = runs;
    this.findings = findings;
  }

  void check(PlannedJob job) {
    for (int step = 0; step < job.steps().size(); step++) {
      PlannedJob.Placement placement = job.steps().get(step).placement();
      List<TaskRun> ofStep =
          job.tasks(step).stream()
              .flatMap(task -> runs.getOrDefault(task, List.of()).stream())
              .toList();
      for (TaskRun run : ofStep) {
        checkLabel(run, placement);
        checkLimit(run, ofStep, placement);
      }
    }
  }

  private void checkLabel(TaskRun run, PlannedJob.Placement placement) {
    if (placement.label().isEmpty()) {
      return;
    }
    String label = placement.label().get();
    boolean has = FleetStandIn.labelsOfExecutor(run.executorNumber()).contains(label);
    findings.check(Promise.PLACEMENT, has, run + " needs " + label);
  }

  private void checkLimit(TaskRun run, List<TaskRun> ofStep, PlannedJob.Placement placement) {
    if (placement.maxPerExecutor() == 0) {
      return;
    }
    List<TaskRun> there =
        ofStep.stream()
            .filter(other -> other.executor().equals(run.executor()))
            .filter(other -> other.bornMillis() == run.bornMillis())
            .filter(other -> other.startMillis() <= run.startMillis())
            .filter(other -> other.endMillis() > run.startMillis())
            .toList();
    findings.check(
        Promise.PLACEMENT,
        there.size() <= placement.maxPerExecutor(),
        "limit " + placement.maxPerExecutor() + ": " + there);
  }
}
