package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * What was learned about one worker since it last finished an attempt. Immutable.
 *
 * @param failures failed attempts that are blamed on it, oldest first, one for each job
 * @param quarantines how often it was quarantined
 * @param quarantinedUntilMillis end of the last quarantine, milliseconds since 1970; 0 for none
 */
record WorkerRecord(List<Failure> failures, int quarantines, long quarantinedUntilMillis) {

  /** Nothing learned. */
  static final WorkerRecord NONE = new WorkerRecord(List.of(), 0, 0);

  private static final int MOST_FAILURES = 8;

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
   * @param confirmed whether the job went well on other workers since
   */
  record Failure(
      JobId job, OrganisationId organisation, long ranSeconds, long atMillis, boolean confirmed) {}

  /** Returns the record after a failure. */
  WorkerRecord plusFailure(Failure failure) {
    List<Failure> kept = new ArrayList<>(failures);
    kept.removeIf(f -> f.job().equals(failure.job()));
    if (kept.size() == MOST_FAILURES) {
      kept.removeFirst();
    }
    kept.add(failure);
    return new WorkerRecord(kept, quarantines, quarantinedUntilMillis);
  }

  /** Returns the record once a job that failed here has finished on other workers. */
  WorkerRecord confirming(JobId job) {
    List<Failure> kept = new ArrayList<>();
    for (Failure f : failures) {
      boolean confirmed = f.confirmed() || f.job().equals(job);
      kept.add(new Failure(f.job(), f.organisation(), f.ranSeconds(), f.atMillis(), confirmed));
    }
    return new WorkerRecord(kept, quarantines, quarantinedUntilMillis);
  }

  /** Returns the record after a quarantine began; its evidence is spent. */
  WorkerRecord quarantined(long untilMillis) {
    return new WorkerRecord(List.of(), quarantines + 1, untilMillis);
  }

  /** Tells whether a job failed here. */
  boolean blames(JobId job) {
    return failures.stream().anyMatch(f -> f.job().equals(job));
  }
}
