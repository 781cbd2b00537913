package org.fescuehook.logic.dispatch;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Tasks of the dispatch core that become due with time. */
final class DelayedTasks {
  private record Task(long dueMillis, long order, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueMillis).thenComparing(Task::order));
  private long order;

  void after(long nowMillis, long delayMillis, Runnable action) {
    tasks.add(new Task(nowMillis + delayMillis, order++, action));
  }

  /** Runs what is due. */
  void run(long nowMillis) {
    while (!tasks.isEmpty() && tasks.peek().dueMillis() <= nowMillis) {
      tasks.poll().action().run();
    }
  }
}
