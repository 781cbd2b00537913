package org.fescuehook.logic.batch.plan;

import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.toList;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.model.fleet.Incarnation;

/** Divides the waiting tasks of a step into the groups that are planned together. */
final class PlacementGroups {

  /**
   * Most groups into which slightly suspected tasks are divided. Each start of a group keeps other
   * work away from an executor for 2 s.
   */
  private static final int MAX_SUSPECT_GROUPS = 16;

  private PlacementGroups() {}

  /** What the tasks of a group have in common. */
  private record Key(boolean lastAttempt, Set<Incarnation> failedOn) {

    /** Tasks that may use most executors come first. */
    static final Comparator<Map.Entry<Key, List<TaskProgress>>> ORDER =
        Comparator.comparing(
                (Map.Entry<Key, List<TaskProgress>> group) -> group.getKey().lastAttempt())
            .thenComparingInt(group -> group.getKey().failedOn().size());
  }

  /**
   * Divides tasks. Those suspected of crashing executors are planned one by one, so that a crash
   * can be attributed to one of them. If many were lost together, they are planned in larger
   * groups; the next crash leaves the tasks of one group, which are then planned one by one. Those
   * with one attempt left are planned apart, since they need more reliable executors, and so are
   * those that avoid different executors, so that the failure of one task does not bar the others.
   *
   * @param lastAttemptsApart whether tasks with one attempt left are planned apart
   */
  static List<List<TaskProgress>> of(
      StepProgress step,
      List<TaskProgress> tasks,
      int maxAttempts,
      boolean lastAttemptsApart,
      long nowNanos) {
    if (step.spec().gang()) {
      return List.of(tasks);
    }
    long earliest = nowNanos - Avoidance.USUAL.toNanos();
    List<List<TaskProgress>> groups = new ArrayList<>();
    tasks.stream()
        .filter(task -> !task.crashes().mayCrash())
        .collect(
            groupingBy(
                task ->
                    new Key(
                        lastAttemptsApart && StartRequirement.onLastAttempt(task, maxAttempts),
                        step.failedOnSince(task, earliest)),
                LinkedHashMap::new,
                toList()))
        .entrySet()
        .stream()
        .sorted(Key.ORDER)
        .forEach(group -> groups.add(group.getValue()));
    groups.addAll(suspectGroups(tasks.stream().filter(task -> task.crashes().mayCrash()).toList()));
    return groups;
  }

  private static List<List<TaskProgress>> suspectGroups(List<TaskProgress> suspects) {
    List<TaskProgress> slight = suspects.stream().filter(task -> task.crashes().slight()).toList();
    int size = Math.ceilDiv(slight.size(), MAX_SUSPECT_GROUPS);
    List<List<TaskProgress>> groups = new ArrayList<>();
    suspects.stream()
        .filter(task -> !task.crashes().slight())
        .forEach(task -> groups.add(List.of(task)));
    for (int from = 0; from < slight.size(); from += size) {
      groups.add(slight.subList(from, Math.min(slight.size(), from + size)));
    }
    return groups;
  }
}
