package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.JobId;

/**
 * Detects faulty workers: those on which jobs fail that run successfully on other workers. A job
 * that fails on every worker is no evidence against any of them.
 */
public final class FaultyWorkerDetector {

  private static final int MIN_JOBS = 2;
  // A running job counts as evidence once it has run on other workers for SURVIVAL_FACTOR times the
  // time after which it failed, and for at least MIN_SURVIVAL_SECONDS.
  private static final long MIN_SURVIVAL_SECONDS = 60;
  private static final int SURVIVAL_FACTOR = 3;
  private static final long FIRST_QUARANTINE_MILLIS = 600_000;
  private static final int MAX_DOUBLINGS = 6;

  /**
   * The decision to quarantine a worker.
   *
   * @param untilMillis end of the quarantine, milliseconds since 1970; the worker then gets jobs
   *     again, on probation
   * @param evidence text that names the jobs that ran successfully on other workers
   */
  public record Quarantine(WorkerId worker, long untilMillis, String evidence) {}

  /**
   * Returns the workers to quarantine now, in the order of their names. Workers that are already in
   * quarantine are skipped.
   */
  public List<Quarantine> detect(Scheduler.View view) {
    List<Quarantine> quarantines = new ArrayList<>();
    Map<WorkerId, WorkerRecord> records = new TreeMap<>(view.history().workers());
    records.forEach(
        (worker, record) -> {
          if (record.quarantinedUntilMillis() > view.nowMillis()) {
            return;
          }
          SortedSet<JobId> failedJobs = evidence(worker, record, view);
          if (failedJobs.size() >= requiredJobs(record)) {
            quarantines.add(quarantine(worker, record, failedJobs, view.nowMillis()));
          }
        });
    return quarantines;
  }

  /**
   * Returns how many jobs are needed as evidence; one suffices for a worker that was quarantined
   * before.
   */
  private static int requiredJobs(WorkerRecord record) {
    return record.quarantines() > 0 ? 1 : MIN_JOBS;
  }

  private static Quarantine quarantine(
      WorkerId worker, WorkerRecord record, SortedSet<JobId> failedJobs, long nowMillis) {
    long durationMillis = FIRST_QUARANTINE_MILLIS << Math.min(MAX_DOUBLINGS, record.quarantines());
    return new Quarantine(
        worker, nowMillis + durationMillis, "jobs that ran elsewhere: " + failedJobs);
  }

  private static SortedSet<JobId> evidence(
      WorkerId worker, WorkerRecord record, Scheduler.View view) {
    SortedSet<JobId> failedJobs = new TreeSet<>();
    for (WorkerRecord.Failure f : record.failures()) {
      if (f.confirmed() || survivesElsewhere(f, worker, view)) {
        failedJobs.add(f.job());
      }
    }
    return failedJobs;
  }

  private static boolean survivesElsewhere(
      WorkerRecord.Failure failure, WorkerId worker, Scheduler.View view) {
    long neededSeconds = Math.max(MIN_SURVIVAL_SECONDS, SURVIVAL_FACTOR * failure.ranSeconds());
    for (Scheduler.RunningAttempt r : view.running()) {
      if (!r.job().id().equals(failure.job())) {
        continue;
      }
      long ranSeconds = (view.nowMillis() - r.startedMillis()) / 1000;
      return ranSeconds >= neededSeconds && !r.placement().members().contains(worker);
    }
    return false;
  }
}
