package org.fescuehook.logic.dispatch;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Tasks that the dispatch core runs after a delay, in the order in which they are due. */
final class DelayedTasks {
  private record Task(long dueMillis, long sequence, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueMillis).thenComparing(Task::sequence));
  private long sequence;

  void schedule(long nowMillis, long delayMillis, Runnable action) {
    tasks.add(new Task(nowMillis + delayMillis, sequence++, action));
  }

  /** Runs all tasks that are due. */
  void run(long nowMillis) {
    while (!tasks.isEmpty() && tasks.peek().dueMillis() <= nowMillis) {
      tasks.poll().action().run();
    }
  }
}
