package org.fescuehook.logic.batch;

import java.util.Optional;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.JobLifecycle;
import org.fescuehook.logic.batch.state.JobRegistry;
import org.fescuehook.logic.batch.state.JobScope;
import org.fescuehook.model.batch.JobPhase;

/**
 * The jobs as callers see them. Callers choose the ids of their jobs, so that callers of several
 * queues and organisations may choose the same one: a job is found only from its own scope.
 */
final class CallerJobs {

  private final JobLifecycle jobs;

  CallerJobs(JobLifecycle jobs) {
    this.jobs = jobs;
  }

  /** Returns the stored state of the job that a call is about; empty if there is no such job. */
  Optional<JobPhase> storedPhase(JobQuery query) {
    return jobs.registry()
        .holder(query.job())
        .filter(holder -> holder.scope().map(job -> isAbout(query.scope(), job)).orElse(true))
        .flatMap(JobRegistry.IdHolder::phase);
  }

  /** Returns the active job that a call is about; empty if it has been retired or is not known. */
  Optional<ActiveJob> active(JobQuery query) {
    return jobs.registry()
        .active(query.job())
        .filter(job -> isAbout(query.scope(), JobScope.of(job.job())));
  }

  /** Returns whether a submission repeats that of a stored job. */
  boolean stored(String id, JobScope caller) {
    return jobs.registry()
        .holder(id)
        .filter(holder -> holder.phase().isPresent())
        .filter(holder -> matches(holder, caller))
        .isPresent();
  }

  /** Returns the job that has the id of a submission though it is not the submitted one. */
  Optional<JobRegistry.IdHolder> otherHolder(String id, JobScope caller) {
    return jobs.registry().holder(id).filter(holder -> !matches(holder, caller));
  }

  private static boolean matches(JobRegistry.IdHolder holder, JobScope caller) {
    return holder.scope().map(caller::matches).orElse(true);
  }

  /**
   * Returns whether a status request or a cancel is about a job. The operators may have renamed the
   * queue of the job, so a queue that is no longer declared is not compared.
   */
  private boolean isAbout(JobScope caller, JobScope job) {
    boolean renamed = jobs.configuration().queue(job.queue()).isEmpty();
    return caller.matches(job) || (renamed && caller.organisation().equals(job.organisation()));
  }
}
