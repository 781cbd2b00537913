package org.fescuehook.logic.batch.state;

import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.JobQueue;

/**
 * Within what a caller chose the id of a job. Callers of other queues and organisations may choose
 * the same id, and must not be answered about this job.
 *
 * @param queue name of the queue
 * @param organisation name of the organisation whose API key the call carried; an empty string if
 *     it is not known, or not compared, since the queue is open
 */
public record JobScope(String queue, String organisation) {

  /**
   * Returns the scope of a call.
   *
   * @param organisation the organisation of its caller; an empty string if it is not known
   */
  public static JobScope of(JobQueue queue, String organisation) {
    return new JobScope(queue.name(), queue.open() ? "" : organisation);
  }

  /** Returns the scope of an accepted job. */
  public static JobScope of(BatchJob job) {
    return of(job.queue(), job.organisation());
  }

  /** Returns whether calls of the two scopes that name the same id are about the same job. */
  public boolean matches(JobScope other) {
    boolean sameOrganisation =
        organisation.isEmpty()
            || other.organisation.isEmpty()
            || organisation.equals(other.organisation);
    return queue.equals(other.queue) && sameOrganisation;
  }
}
