package org.fescuehook.logic.batch.executor;

import java.util.List;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.model.fleet.FailureDomain;

/**
 * Closes the executors of evacuated failure domains to new runs. Runs that were started there
 * continue.
 */
final class EvacuationHandler {

  private final ExecutorRegistry registry;
  private final ReportHandler reportHandler;
  private Set<FailureDomain> evacuated = Set.of();

  EvacuationHandler(ExecutorRegistry registry, ReportHandler reportHandler) {
    this.registry = registry;
    this.reportHandler = reportHandler;
  }

  /**
   * Replaces the evacuated failure domains. Placements there whose start was not ordered yet are
   * given up, so that their tasks are placed elsewhere.
   */
  void replace(Set<FailureDomain> domains, BatchContext context) {
    evacuated = domains;
    for (ExecutorState executor : registry.snapshot()) {
      update(executor);
      if (executor.evacuated()) {
        giveUpPlacements(executor, context);
      }
    }
    evacuated.stream()
        .filter(domain -> registry.all().stream().noneMatch(executor -> isIn(executor, domain)))
        .sorted()
        .forEach(domain -> context.note(BatchLogEvent.EVACUATED_DOMAIN_UNKNOWN, domain));
  }

  /** Closes or opens an executor whose profile is new. */
  void update(ExecutorState executor) {
    executor.setEvacuated(evacuated.contains(executor.profile().domain()));
  }

  private static boolean isIn(ExecutorState executor, FailureDomain domain) {
    return executor.profile().domain().equals(domain);
  }

  private void giveUpPlacements(ExecutorState executor, BatchContext context) {
    for (LiveRun run : List.copyOf(executor.runs())) {
      // A run may be gone already, since giving up one member of a gang gives up the others.
      boolean placed = run.stage() == Stage.PLACED && executor.run(run.run()).isPresent();
      if (placed) {
        executor.remove(run);
        reportHandler.reportLost(run, ExecutorDuty.EVACUATED, context);
      }
    }
  }
}
