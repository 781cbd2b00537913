package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;

/** Tasks that crash each executor that starts them, and a check on how often they are started. */
final class CrashingTasks {

  /** Number of crashed executors from which on further starts of a task are counted. */
  private static final int COUNTED_FROM_CRASHES = 3;

  /** Number of further starts at which the check fails. */
  private static final int TOO_MANY_STARTS = 3;

  private final Map<TaskName, Long> ageAtCrash = new HashMap<>();
  private final Map<TaskName, Integer> crashes = new HashMap<>();
  private final Map<TaskName, Long> newestCrashAt = new HashMap<>();
  private final Map<TaskName, Integer> lateStarts = new HashMap<>();

  /**
   * Makes a task crash its executors.
   *
   * @param millis time from the start to the crash; 0 for a crash before the start is answered
   */
  void crashAfter(TaskName task, long millis) {
    ageAtCrash.put(task, millis);
  }

  boolean crashesAtStart(TaskRun run) {
    return ageAtCrash.getOrDefault(run.task(), Long.MAX_VALUE) == 0;
  }

  boolean crashesNow(TaskRun run, long ageMillis) {
    return ageMillis >= ageAtCrash.getOrDefault(run.task(), Long.MAX_VALUE);
  }

  /** Records that a run was active when its executor crashed, whatever caused the crash. */
  void recordCrash(TaskRun run, long nowMillis) {
    crashes.merge(run.task(), 1, Integer::sum);
    newestCrashAt.put(run.task(), nowMillis);
  }

  /** Tells whether an executor has crashed while it ran a task, after a time. */
  boolean crashedAfter(TaskName task, long millis) {
    return newestCrashAt.getOrDefault(task, Long.MIN_VALUE) > millis;
  }

  /** Returns how many executors have crashed while they ran a task. */
  int crashesUnder(TaskName task) {
    return crashes.getOrDefault(task, 0);
  }

  /** Returns the highest number of executors that have crashed under one task of a job. */
  int crashesUnderJob(String job) {
    return crashes.entrySet().stream()
        .filter(entry -> entry.getKey().job().equals(job))
        .mapToInt(Map.Entry::getValue)
        .max()
        .orElse(0);
  }

  void checkStart(TaskRun run) {
    if (!ageAtCrash.containsKey(run.task()) || crashesUnder(run.task()) < COUNTED_FROM_CRASHES) {
      return;
    }
    int starts = lateStarts.merge(run.task(), 1, Integer::sum);
    assertTrue(
        starts < TOO_MANY_STARTS,
        () ->
            run
                + " starts; number of starts: "
                + starts
                + ", after three executors crashed under it");
  }
}
