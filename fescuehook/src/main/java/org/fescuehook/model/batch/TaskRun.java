package org.fescuehook.model.batch;

/**
 * The name of one run of a task.
 *
 * @param task the task
 * @param number number of the run, from 1; members of a gang that run together have the same number
 */
public record TaskRun(TaskName task, int number) {

  @Override
  public String toString() {
    return task + "#" + number;
  }
}
