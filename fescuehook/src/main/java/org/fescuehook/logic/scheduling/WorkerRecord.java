package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * Failures and quarantines of one worker since an attempt last finished on it. Immutable.
 *
 * @param failures failed attempts that are attributed to the worker, oldest first, at most one for
 *     each job
 * @param quarantines number of quarantines of the worker
 * @param quarantinedUntilMillis end of the last quarantine, milliseconds since 1970; 0 for none
 */
record WorkerRecord(List<Failure> failures, int quarantines, long quarantinedUntilMillis) {

  /** A worker without failures and quarantines. */
  static final WorkerRecord NONE = new WorkerRecord(List.of(), 0, 0);

  private static final int MAX_FAILURES = 8;

  WorkerRecord {
    failures = List.copyOf(failures);
  }

  /**
   * A failed attempt.
   *
   * @param job the job
   * @param organisation its organisation
   * @param ranSeconds how long it ran before it failed
   * @param atMillis when it failed, milliseconds since 1970
   * @param confirmed whether the job has finished on other workers since
   */
  record Failure(
      JobId job, OrganisationId organisation, long ranSeconds, long atMillis, boolean confirmed) {}

  /** Returns a copy with one more failure. */
  WorkerRecord plusFailure(Failure failure) {
    List<Failure> kept = new ArrayList<>(failures);
    kept.removeIf(f -> f.job().equals(failure.job()));
    if (kept.size() == MAX_FAILURES) {
      kept.removeFirst();
    }
    kept.add(failure);
    return new WorkerRecord(kept, quarantines, quarantinedUntilMillis);
  }

  /**
   * Returns a copy in which a job's failure is confirmed because the job finished on other workers.
   */
  WorkerRecord withConfirmedFailure(JobId job) {
    List<Failure> kept = new ArrayList<>();
    for (Failure f : failures) {
      boolean confirmed = f.confirmed() || f.job().equals(job);
      kept.add(new Failure(f.job(), f.organisation(), f.ranSeconds(), f.atMillis(), confirmed));
    }
    return new WorkerRecord(kept, quarantines, quarantinedUntilMillis);
  }

  /** Returns a copy with a new quarantine and without the failures that led to it. */
  WorkerRecord quarantined(long untilMillis) {
    return new WorkerRecord(List.of(), quarantines + 1, untilMillis);
  }

  /** Returns whether a job's failure is attributed to this worker. */
  boolean hasFailureOf(JobId job) {
    return failures.stream().anyMatch(f -> f.job().equals(job));
  }
}
