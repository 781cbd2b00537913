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
 * Finds workers that fail jobs which go well elsewhere. A job that fails everywhere is no evidence
 * against any worker.
 */
public final class FaultyWorkerDetector {

  private static final int LEAST_JOBS = 2;
  private static final long LEAST_SURVIVAL_SECONDS = 60;
  private static final int SURVIVAL_FACTOR = 3;
  private static final long FIRST_QUARANTINE_MILLIS = 600_000;
  private static final int MOST_DOUBLINGS = 6;

  /**
   * A worker to be quarantined.
   *
   * @param untilMillis when it gets work again, on probation, milliseconds since 1970
   * @param evidence the jobs that speak against it, in words
   */
  public record Quarantine(WorkerId worker, long untilMillis, String evidence) {}

  /**
   * Returns the workers to be quarantined now, in the order of their names. Workers in quarantine
   * are not judged again.
   */
  public List<Quarantine> judge(Scheduler.View view) {
    List<Quarantine> judgements = new ArrayList<>();
    Map<WorkerId, WorkerRecord> records = new TreeMap<>(view.history().workers());
    records.forEach(
        (worker, record) -> {
          if (record.quarantinedUntilMillis() > view.nowMillis()) {
            return;
          }
          SortedSet<JobId> against = evidence(worker, record, view);
          if (against.size() >= least(record)) {
            judgements.add(judgement(worker, record, against, view.nowMillis()));
          }
        });
    return judgements;
  }

  /** On probation one job is enough. */
  private static int least(WorkerRecord record) {
    return record.quarantines() > 0 ? 1 : LEAST_JOBS;
  }

  private static Quarantine judgement(
      WorkerId worker, WorkerRecord record, SortedSet<JobId> against, long nowMillis) {
    long length = FIRST_QUARANTINE_MILLIS << Math.min(MOST_DOUBLINGS, record.quarantines());
    return new Quarantine(worker, nowMillis + length, "jobs that ran elsewhere: " + against);
  }

  private static SortedSet<JobId> evidence(
      WorkerId worker, WorkerRecord record, Scheduler.View view) {
    SortedSet<JobId> against = new TreeSet<>();
    for (WorkerRecord.Failure f : record.failures()) {
      if (f.confirmed() || survivesElsewhere(f, worker, view)) {
        against.add(f.job());
      }
    }
    return against;
  }

  private static boolean survivesElsewhere(
      WorkerRecord.Failure failure, WorkerId worker, Scheduler.View view) {
    long needed = Math.max(LEAST_SURVIVAL_SECONDS, SURVIVAL_FACTOR * failure.ranSeconds());
    for (Scheduler.RunningAttempt r : view.running()) {
      if (!r.job().id().equals(failure.job())) {
        continue;
      }
      long ran = (view.nowMillis() - r.startedMillis()) / 1000;
      return ran >= needed && !r.placement().members().contains(worker);
    }
    return false;
  }
}
