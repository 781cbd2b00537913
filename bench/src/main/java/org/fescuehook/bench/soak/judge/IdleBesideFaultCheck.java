package org.fescuehook.bench.soak.judge;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.fescuehook.bench.soak.judge.JobCall.Kind;
import org.fescuehook.standins.platform.AdviceStandIn;
import org.fescuehook.standins.platform.FleetStandIn;

/**
 * Checks that an open job has something running while a fault is in force that excuses no idle job,
 * as long as nothing else is disturbed, less than half of the fleet is in use and there is capacity
 * for twice a step whose turn has come.
 */
final class IdleBesideFaultCheck {

  /** For how long a job may have nothing running. */
  private static final long IDLE_MILLIS = 3000;

  /** Distance of the moments from which on a job is checked for {@link #IDLE_MILLIS}. */
  private static final long RESOLUTION_MILLIS = 100;

  private static final double SLOTS = 4;

  private final FaultInForce fault;
  private final History history;
  private final Map<String, List<TaskRun>> runs;
  private final List<TaskRun> usualRuns;
  private final List<Disruption> stretches;
  private final Findings findings;

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
    this.findings = findings;
    this.usualRuns =
        runs.values().stream()
            .flatMap(Collection::stream)
            .filter(run -> run.executorNumber() <= history.executors())
            .toList();
    this.stretches = history.disruptions().stream().filter(d -> d.kind() == kind()).toList();
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
    List<TaskRun> ofJob = runsOf(job.tasks().stream());
    if (job.crashes() || ofJob.stream().anyMatch(IdleBesideFaultCheck::mayWait)) {
      return;
    }
    long over = IdleJobCheck.overAt(history, runs, job, calls);
    for (Disruption stretch : stretches) {
      long idleSince = Math.max(accepted.getAsLong(), beginOf(stretch));
      long to = Math.min(over, stretch.toMillis());
      for (TaskRun run : ofJob) {
        checkIdle(job, idleSince, Math.min(run.startMillis(), to));
        idleSince = Math.max(idleSince, run.endMillis());
      }
      checkIdle(job, idleSince, to);
    }
  }

  /** Tells whether a task may wait before it starts again, or has an end that is not known. */
  private static boolean mayWait(TaskRun run) {
    return run.crashed() || run.failed() || (run.done() && !run.noted());
  }

  private List<TaskRun> runsOf(Stream<String> tasks) {
    return tasks
        .flatMap(task -> runs.getOrDefault(task, List.of()).stream())
        .sorted(Comparator.comparingLong(TaskRun::startMillis))
        .toList();
  }

  private void checkIdle(PlannedJob job, long from, long to) {
    if (to <= from || !mayStart(job, from, Math.min(to, from + IDLE_MILLIS))) {
      checkLater(job, from, to);
      return;
    }
    findings.check(
        promise(),
        to - from <= IDLE_MILLIS,
        "job %s has nothing running from %d to %d".formatted(job.id(), from, to));
  }

  /** Checks the rest of a gap that begins while the job may stand still. */
  private void checkLater(PlannedJob job, long from, long to) {
    for (long at = from + RESOLUTION_MILLIS; at + IDLE_MILLIS < to; at += RESOLUTION_MILLIS) {
      if (mayStart(job, at, at + IDLE_MILLIS)) {
        String detail =
            "job %s has nothing running from %d to %d, could run from %d on"
                .formatted(job.id(), from, to, at);
        findings.check(promise(), false, detail);
        return;
      }
    }
  }

  /** Tells whether a step could start in the whole of a span in which its job runs nothing. */
  private boolean mayStart(PlannedJob job, long from, long to) {
    if (!calmButForFault(from, to)) {
      return false;
    }
    List<TaskRun> near =
        usualRuns.stream()
            .filter(run -> run.startMillis() < to)
            .filter(run -> run.endMillis() > from - History.LEASE_MILLIS)
            .toList();
    List<Map<Integer, Double>> uses =
        Stream.concat(
                Stream.of(from),
                near.stream().map(TaskRun::startMillis).filter(start -> start > from))
            .distinct()
            .map(at -> used(near, at))
            .toList();
    double half = history.executors() * SLOTS / 2;
    if (uses.stream().anyMatch(use -> sum(use) >= half)) {
      return false;
    }
    for (int step = 0; step < job.steps().size(); step++) {
      int number = step;
      if (hasTurn(job, step, from) && uses.stream().allMatch(use -> fitsTwice(job, number, use))) {
        return true;
      }
    }
    return false;
  }

  private static double sum(Map<Integer, Double> slots) {
    return slots.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  private boolean hasTurn(PlannedJob job, int step, long atMillis) {
    return !allDone(job, step, atMillis)
        && job.steps().get(step).dependsOn().stream()
            .allMatch(earlier -> allDone(job, earlier, atMillis));
  }

  private boolean allDone(PlannedJob job, int step, long atMillis) {
    return job.tasks(step).stream().allMatch(task -> done(job, task, atMillis));
  }

  private boolean done(PlannedJob job, String task, long atMillis) {
    return job.doneWith(task).stream()
        .flatMap(member -> runs.getOrDefault(member, List.of()).stream())
        .anyMatch(run -> run.done() && run.endMillis() <= atMillis);
  }

  /** Returns the slots in use by executor; one that crashed counts as full while it is unknown. */
  private static Map<Integer, Double> used(List<TaskRun> runs, long atMillis) {
    Map<Integer, Double> used = new HashMap<>();
    for (TaskRun run : runs) {
      if (run.crashed()
          && run.endMillis() <= atMillis
          && run.endMillis() > atMillis - History.LEASE_MILLIS) {
        used.merge(run.executorNumber(), SLOTS, Math::max);
      } else if (run.startMillis() <= atMillis && run.endMillis() > atMillis) {
        double share = 1.0 / PlannedJob.tasksPerSlot(run.spec());
        used.merge(run.executorNumber(), share, (one, other) -> Math.min(SLOTS, one + other));
      }
    }
    return used;
  }

  private boolean fitsTwice(PlannedJob job, int step, Map<Integer, Double> used) {
    PlannedJob.Step needed = job.steps().get(step);
    PlannedJob.Placement placement = needed.placement();
    long room = 0;
    for (int executor = 1; executor <= history.executors(); executor++) {
      if (placement.label().isPresent()
          && !FleetStandIn.labelsOfExecutor(executor).contains(placement.label().get())) {
        continue;
      }
      if (job.queue() == PlannedJob.Queue.ADVISED
          && !AdviceStandIn.allows(job.id() + ".0." + step, executor, history.executors())) {
        continue;
      }
      double free = SLOTS - used.getOrDefault(executor, 0.0);
      long tasks = (long) (free * job.tasksPerSlot());
      room += placement.maxPerExecutor() == 0 ? tasks : Math.min(tasks, placement.maxPerExecutor());
    }
    return room >= 2L * needed.count();
  }
}
