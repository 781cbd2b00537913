package org.fescuehook.logic.batch.plan;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.model.fleet.Incarnation;

/**
 * A step whose turn has come and of which tasks need a run.
 *
 * @param step the step
 * @param tasks the tasks that need a run; for a gang all of them
 * @param pool pool of the executors that may run it
 * @param rank its precedence
 * @param acceptedMillis when its job was accepted, milliseconds since 1970
 * @param timing how it stands in time
 * @param permitted the executors that may run it by external advice; absent if any may
 */
public record WaitingStep(
    StepProgress step,
    List<TaskProgress> tasks,
    String pool,
    Rank rank,
    long acceptedMillis,
    StepTiming timing,
    Optional<Set<Incarnation>> permitted) {

  /**
   * Order of planning: by rank, then those that can still meet their objective, then the late ones,
   * last those that come too late anyway, each in the order of their acceptance.
   */
  public static final Comparator<WaitingStep> ORDER =
      Comparator.comparing(WaitingStep::rank)
          .thenComparing(waiting -> waiting.timing().prospect())
          .thenComparingLong(WaitingStep::acceptedMillis);

  /** Copies the list. */
  public WaitingStep {
    tasks = List.copyOf(tasks);
  }

  /** Tells whether the step goes first: its queue has priority 0. */
  public boolean urgent() {
    return !Rank.ofPriority(0).before(rank);
  }

  /** Tells whether one of the tasks may crash its executor; of a gang all start or none. */
  public boolean mayCrash() {
    return tasks.stream().anyMatch(task -> task.crashes().mayCrash());
  }

  /** Returns the same step without the first tasks. */
  public WaitingStep rest(int placed) {
    List<TaskProgress> left = tasks.subList(placed, tasks.size());
    return new WaitingStep(step, left, pool, rank, acceptedMillis, timing, permitted);
  }

  /** Tells whether an executor may run it as far as external advice goes. */
  public boolean permits(Incarnation executor) {
    return permitted.map(executors -> executors.contains(executor)).orElse(true);
  }

  /** Returns the work of the waiting tasks by their estimate, in seconds of one core. */
  public double estimatedCoreSeconds() {
    return step.spec().estimatedCoreSeconds() * tasks.size() / step.spec().count();
  }
}
