package org.fescuehook.model.job;

/**
 * Identifier of one attempt at running a job.
 *
 * @param job the job
 * @param number 1 for the first attempt
 */
public record AttemptId(JobId job, int number) {

  @Override
  public String toString() {
    return job.value() + "." + number;
  }
}
