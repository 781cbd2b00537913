package org.fescuehook.bench.soak.judge;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.fescuehook.standins.platform.AdviceStandIn;
import org.fescuehook.standins.platform.FleetStandIn;

/** What the runs of the usual service leave free on its executors, by what these recorded. */
final class FleetUse {

  private static final double SLOTS = 4;

  private final History history;
  private final Map<String, List<TaskRun>> runs;
  private final List<TaskRun> usualRuns;

  /** Slots in use at starts, kept since the spans of many jobs contain the same starts. */
  private final Map<Long, Map<Integer, Double>> usedAtStarts = new HashMap<>();

  FleetUse(History history, Map<String, List<TaskRun>> runs) {
    this.history = history;
    this.runs = runs;
    this.usualRuns =
        runs.values().stream()
            .flatMap(Collection::stream)
            .filter(run -> run.executorNumber() <= history.executors())
            .toList();
  }

  /**
   * Returns the slots in use by executor, at the beginning of a span and after each start in it.
   */
  List<Map<Integer, Double>> during(long from, long to) {
    List<TaskRun> near =
        usualRuns.stream()
            .filter(run -> run.startMillis() < to)
            .filter(run -> run.endMillis() > from - History.LEASE_MILLIS)
            .toList();
    Stream<Map<Integer, Double>> atStarts =
        near.stream()
            .map(TaskRun::startMillis)
            .filter(start -> start > from)
            .distinct()
            .map(at -> usedAtStarts.computeIfAbsent(at, start -> used(usualRuns, start)));
    return Stream.concat(Stream.of(used(near, from)), atStarts).toList();
  }

  /** Returns the slots in use by executor; one that crashed counts as full while it is unknown. */
  private static Map<Integer, Double> used(List<TaskRun> runs, long atMillis) {
    Map<Integer, Double> used = new HashMap<>();
    for (TaskRun run : runs) {
      if (run.crashed()
          && run.endMillis() <= atMillis
          && run.endMillis() > atMillis - History.LEASE_MILLIS) {
        used.merge(run.executorNumber(), SLOTS, Math::max);
      } else if (run.startMillis() <= atMillis && run.endMillis() > atMillis) {
        double slots = PlannedJob.slotsPerTask(run.spec());
        used.merge(run.executorNumber(), slots, (one, other) -> Math.min(SLOTS, one + other));
      }
    }
    return used;
  }

  /** Tells whether less than half of the slots of all executors are in use. */
  boolean halfIdle(Map<Integer, Double> used) {
    double sum = used.values().stream().mapToDouble(Double::doubleValue).sum();
    return sum < history.executors() * SLOTS / 2;
  }

  /** Tells whether some tasks of a step would fit twice beside what is in use. */
  boolean fitsTwice(PlannedJob job, int step, int count, Map<Integer, Double> used) {
    PlannedJob.Placement placement = job.steps().get(step).placement();
    long room = 0;
    for (int executor = 1; executor <= history.executors(); executor++) {
      if (placement.label().isPresent()
          && !FleetStandIn.labelsOfExecutor(executor).contains(placement.label().get())) {
        continue;
      }
      if (job.queue() == PlannedJob.Queue.ADVISED
          && !AdviceStandIn.allows(job.id() + ".0." + step, executor, history.executors())) {
        continue;
      }
      double free = SLOTS - used.getOrDefault(executor, 0.0);
      long tasks = (long) (free / job.slotsPerTask());
      room += placement.maxPerExecutor() == 0 ? tasks : Math.min(tasks, placement.maxPerExecutor());
    }
    return room >= 2L * count;
  }

  /** Tells whether the steps that a step depends on are done, and the step itself is not. */
  boolean hasTurn(PlannedJob job, int step, long atMillis) {
    return !allDone(job, step, atMillis)
        && job.steps().get(step).dependsOn().stream()
            .allMatch(earlier -> allDone(job, earlier, atMillis));
  }

  private boolean allDone(PlannedJob job, int step, long atMillis) {
    return job.tasks(step).stream().allMatch(task -> done(job, task, atMillis));
  }

  private boolean done(PlannedJob job, String task, long atMillis) {
    return job.doneWith(task).stream()
        .flatMap(member -> runs.getOrDefault(member, List.of()).stream())
        .anyMatch(run -> run.done() && run.endMillis() <= atMillis);
  }
}
