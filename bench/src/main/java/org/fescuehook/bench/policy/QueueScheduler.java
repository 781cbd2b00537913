package org.fescuehook.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.Placement;

/** Simple policies over one queue in the order of submission; they know no guarantees. */
final class QueueScheduler implements Scheduler {

  private final boolean backfill;

  /**
   * Creates a policy.
   *
   * @param backfill whether later jobs may start while an earlier one does not fit
   */
  QueueScheduler(boolean backfill) {
    this.backfill = backfill;
  }

  @Override
  public Plan plan(View view) {
    FreeCapacity free = new FreeCapacity(view);
    QuotaBook quotas = new QuotaBook(view);
    List<Start> starts = new ArrayList<>();
    for (WaitingJob w : view.waiting()) {
      Job job = w.job();
      if (!quotas.allows(job)) {
        continue;
      }
      Optional<Placement> placement = free.firstFit(job.shape(), w.avoid());
      if (placement.isPresent()) {
        free.take(placement.get(), job.shape());
        quotas.use(job);
        starts.add(new Start(job.id(), placement.get(), 0, false));
      } else if (!backfill) {
        break;
      }
    }
    return new Plan(starts, List.of(), Map.of());
  }
}
