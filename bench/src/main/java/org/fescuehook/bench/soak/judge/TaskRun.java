package org.fescuehook.bench.soak.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehook.standins.platform.RunEvent;

/**
 * A run of a task, put together from what its executor saw.
 *
 * @param executor id of its executor
 * @param bornMillis which life of that executor, by when it started
 * @param spec text that it was started with
 * @param endMillis when it was over, {@link Long#MAX_VALUE} if it is not
 * @param how how it ended; empty if it is not over or its executor crashed
 * @param noted whether its end was taken note of before the executor's lease lapsed
 * @param late whether it began seconds after its order came
 * @param hidden whether it ended behind so many others that its executor did not list its end
 */
record TaskRun(
    String task,
    int number,
    String executor,
    long bornMillis,
    String spec,
    long startMillis,
    long endMillis,
    String how,
    boolean noted,
    boolean late,
    boolean hidden) {

  private static final String DONE = "done";
  private static final String FAILED = "failed";

  /** Executors that have crashed under one task from which on its job may be shown as failed. */
  private static final int GIVEN_UP_CRASHES = 2;

  /** An executor lists this many ends at a time. */
  private static final int LISTED_ENDS = 500;

  /** What tells runs apart: the same run may begin in two lives of an executor. */
  private record Key(String executor, long bornMillis, String task, int run) {

    static Key of(RunEvent event) {
      return new Key(event.executor(), event.bornMillis(), event.task(), event.run());
    }
  }

  /** One life of an executor. */
  private record Life(String executor, long bornMillis) {}

  boolean done() {
    return how.equals(DONE);
  }

  boolean failed() {
    return how.equals(FAILED);
  }

  /**
   * Tells whether a job may be shown as failed for one of its tasks or its gang, which has failed
   * or crashed its executors often enough.
   */
  static boolean mayFail(PlannedJob job, Map<String, List<TaskRun>> runs) {
    if (job.gang()) {
      return mayFailJob(
          job,
          job.tasks().stream()
              .flatMap(task -> runs.getOrDefault(task, List.of()).stream())
              .toList());
    }
    return job.tasks().stream()
        .map(task -> runs.getOrDefault(task, List.of()))
        .anyMatch(ofTask -> mayFailJob(job, ofTask));
  }

  private static boolean mayFailJob(PlannedJob job, List<TaskRun> ofTask) {
    return ofTask.stream().filter(TaskRun::failed).count() >= job.queue().maxAttempts()
        || ofTask.stream().filter(TaskRun::crashed).count() >= GIVEN_UP_CRASHES;
  }

  /** Tells whether its executor crashed while it ran. */
  boolean crashed() {
    return how.isEmpty() && endMillis != Long.MAX_VALUE;
  }

  String job() {
    return task.substring(0, task.indexOf('.'));
  }

  int step() {
    return Integer.parseInt(task.split("\\.")[2]);
  }

  /** Returns the number of its executor, which all its lives have in common. */
  int executorNumber() {
    return Integer.parseInt(executor.substring(1, executor.indexOf('-')));
  }

  /** Puts the runs together, in the order of their starts, by task. */
  static Map<String, List<TaskRun>> byTask(List<RunEvent> events) {
    Map<Key, List<RunEvent>> byRun =
        events.stream()
            .filter(event -> !event.task().isEmpty())
            .collect(Collectors.groupingBy(Key::of, LinkedHashMap::new, Collectors.toList()));
    List<RunEvent> lapses =
        events.stream().filter(event -> event.kind() == RunEvent.Kind.LAPSED).toList();
    Set<Key> hidden = hidden(events);
    Map<String, List<TaskRun>> byTask = new HashMap<>();
    byRun.forEach(
        (key, run) ->
            of(run, lapses, hidden.contains(key))
                .ifPresent(r -> byTask.computeIfAbsent(r.task, task -> new ArrayList<>()).add(r)));
    return byTask;
  }

  /** Returns the runs that ended while their executor held more ends than it lists. */
  private static Set<Key> hidden(List<RunEvent> events) {
    Map<Life, Integer> waiting = new HashMap<>();
    Set<Key> hidden = new HashSet<>();
    for (RunEvent event : events) {
      Life life = new Life(event.executor(), event.bornMillis());
      if (event.kind() == RunEvent.Kind.ACKNOWLEDGED) {
        waiting.merge(life, -1, Integer::sum);
      } else if (event.kind() == RunEvent.Kind.ENDED) {
        if (waiting.merge(life, 1, Integer::sum) > LISTED_ENDS) {
          hidden.add(Key.of(event));
        }
      }
    }
    return hidden;
  }

  private static Optional<TaskRun> of(List<RunEvent> run, List<RunEvent> lapses, boolean hidden) {
    Optional<RunEvent> start = find(run, RunEvent.Kind.STARTED);
    if (start.isEmpty()) {
      return Optional.empty();
    }
    Optional<RunEvent> end = find(run, RunEvent.Kind.ENDED);
    Optional<RunEvent> over = end.or(() -> find(run, RunEvent.Kind.CRASHED));
    Optional<RunEvent> acknowledged = find(run, RunEvent.Kind.ACKNOWLEDGED);
    boolean noted =
        acknowledged.isPresent()
            && end.isPresent()
            && lapses.stream()
                .filter(event -> sameLife(event, start.get()))
                .noneMatch(
                    event ->
                        event.atMillis() > end.get().atMillis()
                            && event.atMillis() < acknowledged.get().atMillis());
    return Optional.of(
        new TaskRun(
            start.get().task(),
            start.get().run(),
            start.get().executor(),
            start.get().bornMillis(),
            start.get().detail(),
            start.get().atMillis(),
            over.map(RunEvent::atMillis).orElse(Long.MAX_VALUE),
            end.map(RunEvent::detail).orElse(""),
            noted,
            find(run, RunEvent.Kind.STARTED_LATE).isPresent(),
            hidden));
  }

  private static boolean sameLife(RunEvent one, RunEvent other) {
    return one.executor().equals(other.executor()) && one.bornMillis() == other.bornMillis();
  }

  private static Optional<RunEvent> find(List<RunEvent> run, RunEvent.Kind kind) {
    return run.stream().filter(event -> event.kind() == kind).findFirst();
  }
}
