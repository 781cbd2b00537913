package org.fescuehook.bench.soak.judge;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.fescuehook.bench.soak.judge.JobCall.Kind;

/**
 * Checks that an open job has something running while a fault is in force that excuses no idle job,
 * as long as nothing else is disturbed, less than half of the fleet is in use and there is capacity
 * for twice a step whose turn has come.
 */
final class IdleBesideFaultCheck {

  private final FaultInForce fault;
  private final History history;
  private final Map<String, List<TaskRun>> runs;
  private final List<Disruption> stretches;
  private final IdleTime idleTime;

  /** The fault beside which jobs have to go on. */
  enum FaultInForce {
    /** Orders to executors are carried out late and have no answer. */
    LATE_ORDERS,
    /** Some VMs are cut off from some executors, which other VMs reach. */
    EXECUTORS_CUT
  }

  IdleBesideFaultCheck(
      FaultInForce fault, History history, Map<String, List<TaskRun>> runs, Findings findings) {
    this.fault = fault;
    this.history = history;
    this.runs = runs;
    this.stretches = history.disruptions().stream().filter(d -> d.kind() == kind()).toList();
    this.idleTime =
        new IdleTime(
            promise(),
            new FleetUse(history, runs),
            this::calmButForFault,
            PlannedJob.Step::count,
            findings);
  }

  private Disruption.Kind kind() {
    return switch (fault) {
      case LATE_ORDERS -> Disruption.Kind.ORDERS_LATE;
      case EXECUTORS_CUT -> Disruption.Kind.EXECUTORS_CUT;
    };
  }

  private Promise promise() {
    return switch (fault) {
      case LATE_ORDERS -> Promise.GOES_ON_DESPITE_LATE_ORDERS;
      case EXECUTORS_CUT -> Promise.GOES_ON_DESPITE_CUTS;
    };
  }

  /** Returns from when on jobs have to go on in a stretch of the fault. */
  private long beginOf(Disruption stretch) {
    return switch (fault) {
      case LATE_ORDERS -> stretch.fromMillis();
      case EXECUTORS_CUT -> stretch.fromMillis() + History.CUT_NOTICED_MILLIS;
    };
  }

  /** Tells whether nothing but this fault disturbs anything, and jobs have to go on beside it. */
  private boolean calmButForFault(long from, long to) {
    return switch (fault) {
      case LATE_ORDERS -> history.calmButForLateOrders(from, to);
      case EXECUTORS_CUT -> history.calmButForCuts(from, to);
    };
  }

  /** Checks an accepted job of the usual service that nobody has cancelled. */
  void check(PlannedJob job, List<JobCall> calls) {
    OptionalLong accepted = JobCall.acceptedAt(calls);
    boolean cancelled = calls.stream().anyMatch(call -> call.kind() == Kind.CANCEL);
    if (accepted.isEmpty() || cancelled || job.queue() == PlannedJob.Queue.SMALL) {
      return;
    }
    List<TaskRun> ofJob = job.runs(runs);
    if (job.crashes() || ofJob.stream().anyMatch(IdleBesideFaultCheck::mayWait)) {
      return;
    }
    long over = IdleJobCheck.overAt(history, runs, job, calls);
    for (Disruption stretch : stretches) {
      long from = Math.max(accepted.getAsLong(), beginOf(stretch));
      idleTime.checkGaps(job, ofJob, from, Math.min(over, stretch.toMillis()));
    }
  }

  /** Tells whether a task may wait before it starts again, or has an end that is not known. */
  private static boolean mayWait(TaskRun run) {
    return run.crashed() || run.failed() || (run.done() && !run.noted());
  }
}
