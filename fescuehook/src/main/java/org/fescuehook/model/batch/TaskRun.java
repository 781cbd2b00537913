package org.fescuehook.model.batch;

/**
 * One start of a task.
 *
 * @param task the task
 * @param number number of the start, from 1; the members of a gang share it
 */
public record TaskRun(TaskName task, int number) {

  @Override
  public String toString() {
    return task + "#" + number;
  }
}
