package org.fescuehook.model.batch;

/**
 * The name of a task.
 *
 * @param job id of the job
 * @param occurrence number of the occurrence, from 0; 0 for a job without a schedule
 * @param step number of the step, from 0
 * @param index index of the task in its step, from 0
 */
public record TaskName(String job, int occurrence, int step, int index) {

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step + "." + index;
  }
}
