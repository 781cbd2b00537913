package org.fescuehook.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fescuehook.logic.scheduling.GuaranteeScheduler;
import org.fescuehook.logic.scheduling.History;
import org.fescuehook.logic.scheduling.Scheduler.Plan;
import org.fescuehook.logic.scheduling.Scheduler.RunningAttempt;
import org.fescuehook.logic.scheduling.Scheduler.Start;
import org.fescuehook.logic.scheduling.Scheduler.View;
import org.fescuehook.logic.scheduling.Scheduler.WaitingJob;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.job.Job;

/** Measures one plan of the policy on a full fleet with jobs waiting. */
final class PlanCost {
  private static final long NOW = 10_000_000;
  private static final int RUNS = 40;

  private final CpuClock clock;

  PlanCost(CpuClock clock) {
    this.clock = clock;
  }

  /** Returns the median processor time of a plan in microseconds. */
  double micros(FleetOfSize fleet) throws Exception {
    Declarations declarations = fleet.declarations();
    GuaranteeScheduler scheduler = new GuaranteeScheduler();
    List<RunningAttempt> running = place(scheduler, declarations, fleet.jobs());
    List<WaitingJob> waiting = waiting(fleet.waitingJobs());
    View view = new View(NOW, declarations, waiting, running, Set.of(), History.EMPTY);
    return clock.medianMicros(RUNS, () -> scheduler.plan(view));
  }

  private static List<RunningAttempt> place(
      GuaranteeScheduler scheduler, Declarations declarations, List<Job> jobs) {
    View view = new View(NOW, declarations, waiting(jobs), List.of(), Set.of(), History.EMPTY);
    Plan plan = scheduler.plan(view);
    List<RunningAttempt> running = new ArrayList<>();
    for (Start start : plan.starts()) {
      Job job = jobs.stream().filter(j -> j.id().equals(start.job())).findFirst().orElseThrow();
      AttemptId attempt = new AttemptId(job.id(), 1);
      running.add(
          new RunningAttempt(job, attempt, start.placement(), start.borrowed(), NOW, 0, false));
    }
    return running;
  }

  private static List<WaitingJob> waiting(List<Job> jobs) {
    return jobs.stream().map(job -> new WaitingJob(job, 0, 0, Set.of())).toList();
  }
}
