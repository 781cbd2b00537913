package org.fescuehook.bench.soak.judge;

import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Checks spans in which a job has nothing running: none may have 3 s in which nothing excuses that,
 * less than half of the fleet is in use and there is capacity for twice what should start.
 */
final class IdleTime {

  /** For how long a job may have nothing running. */
  private static final long IDLE_MILLIS = 3000;

  /** Distance of the moments from which on a job is checked for {@link #IDLE_MILLIS}. */
  private static final long RESOLUTION_MILLIS = 100;

  private final Promise promise;
  private final FleetUse fleet;
  private final Calm calm;
  private final ToIntFunction<PlannedJob.Step> startsTogether;
  private final Findings findings;

  /** Tells whether nothing disturbs a span so that a job may stand still in it. */
  @FunctionalInterface
  interface Calm {
    boolean in(long from, long to);
  }

  /**
   * Creates a check.
   *
   * @param startsTogether how many tasks of a step there has to be capacity for, twice over
   */
  IdleTime(
      Promise promise,
      FleetUse fleet,
      Calm calm,
      ToIntFunction<PlannedJob.Step> startsTogether,
      Findings findings) {
    this.promise = promise;
    this.fleet = fleet;
    this.calm = calm;
    this.startsTogether = startsTogether;
    this.findings = findings;
  }

  /**
   * Checks the gaps between the runs of a job in a span.
   *
   * @param ofJob all runs of the job in the order of their starts
   */
  void checkGaps(PlannedJob job, List<TaskRun> ofJob, long from, long to) {
    long idleSince = from;
    for (TaskRun run : ofJob) {
      check(job, idleSince, Math.min(run.startMillis(), to));
      idleSince = Math.max(idleSince, run.endMillis());
    }
    check(job, idleSince, to);
  }

  /** Checks a span in which a job has nothing running. */
  private void check(PlannedJob job, long from, long to) {
    if (to <= from) {
      return;
    }
    if (!mayStart(job, from, Math.min(to, from + IDLE_MILLIS))) {
      checkLater(job, from, to);
      return;
    }
    findings.check(
        promise,
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
        findings.check(promise, false, detail);
        return;
      }
    }
  }

  /** Tells whether a step could start in the whole of a span in which its job runs nothing. */
  private boolean mayStart(PlannedJob job, long from, long to) {
    if (!calm.in(from, to)) {
      return false;
    }
    List<Map<Integer, Double>> uses = fleet.during(from, to);
    if (!uses.stream().allMatch(fleet::halfIdle)) {
      return false;
    }
    for (int step = 0; step < job.steps().size(); step++) {
      int number = step;
      int count = startsTogether.applyAsInt(job.steps().get(step));
      if (fleet.hasTurn(job, step, from)
          && uses.stream().allMatch(use -> fleet.fitsTwice(job, number, count, use))) {
        return true;
      }
    }
    return false;
  }
}
