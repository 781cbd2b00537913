package org.fescuehook.logic.batch.plan;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.advice.StepAdvice;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.logic.batch.statistics.OrganisationUsage;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.Incarnation;

/**
 * A step that is ready to start and has tasks that need a run.
 *
 * @param step the step
 * @param tasks the tasks that need a run; for a gang all of them
 * @param pool pool of the executors that may run it
 * @param rank its precedence
 * @param acceptedMillis when its job was accepted, milliseconds since 1970
 * @param timing its waiting times and objective
 * @param advice which executors it may use according to external advice; absent if it needs none
 * @param maxAttempts failures of a task after which its job fails, as its queue is declared now
 * @param requirement how reliable its executors must be
 * @param avoidance the executors that it avoids because of failures
 */
public record WaitingStep(
    StepProgress step,
    List<TaskProgress> tasks,
    String pool,
    Rank rank,
    long acceptedMillis,
    StepTiming timing,
    Optional<StepAdvice> advice,
    int maxAttempts,
    StartRequirement requirement,
    Avoidance avoidance) {

  /**
   * Order of planning: by rank, then by whether the step can still meet its objective, is late or
   * is too late to be of use, and among equals by the acceptance of the job.
   */
  public static final Comparator<WaitingStep> ORDER =
      Comparator.comparing(WaitingStep::rank)
          .thenComparing(waiting -> waiting.timing().prospect())
          .thenComparingLong(WaitingStep::acceptedMillis);

  /**
   * Returns the order in which planning begins: organisations with less recent use go first among
   * steps of the same rank and prospect. What the plan places then changes the use, see {@link
   * PlanOrder}.
   */
  static Comparator<WaitingStep> order(OrganisationUsage usage) {
    return Comparator.comparing(WaitingStep::rank)
        .thenComparing(waiting -> waiting.timing().prospect())
        .thenComparing(waiting -> usage.level(waiting.organisation()))
        .thenComparingLong(WaitingStep::acceptedMillis);
  }

  /**
   * Creates a step that may run on executors of any reliability and avoids none, with the attempts
   * of its queue as accepted.
   */
  public WaitingStep(
      StepProgress step,
      List<TaskProgress> tasks,
      String pool,
      Rank rank,
      long acceptedMillis,
      StepTiming timing,
      Optional<StepAdvice> advice) {
    this(
        step,
        tasks,
        pool,
        rank,
        acceptedMillis,
        timing,
        advice,
        step.job().job().queue().maxAttempts(),
        StartRequirement.ANY,
        Avoidance.NONE);
  }

  /** Copies the list. */
  public WaitingStep {
    tasks = List.copyOf(tasks);
  }

  /** Returns the name of the organisation that submitted the job. */
  String organisation() {
    return step.job().job().organisation();
  }

  /** Tells whether only use and acceptance decide between this step and another one. */
  boolean sameClass(WaitingStep other) {
    return rank.equals(other.rank) && timing.prospect() == other.timing.prospect();
  }

  /**
   * Tells whether the spare time of the step is almost used up. A step that is too late to be of
   * use is not preferred.
   */
  boolean nearlyLate() {
    return timing.nearlyLate() && timing.prospect() != StepTiming.Prospect.TOO_LATE;
  }

  /** Tells whether the step is urgent: its queue has priority 0. */
  public boolean urgent() {
    return !Rank.ofPriority(0).before(rank);
  }

  /**
   * Tells whether one of the tasks is suspected of crashing executors. This holds for a gang as a
   * whole, since all its members start or none.
   */
  public boolean mayCrash() {
    return tasks.stream().anyMatch(task -> task.crashes().mayCrash());
  }

  /** Returns the same step without the first tasks, which have been placed. */
  public WaitingStep withoutFirst(int placed) {
    return with(tasks.subList(placed, tasks.size()), advice, requirement, avoidance);
  }

  /** Returns the same step with another requirement on the reliability of its executors. */
  WaitingStep requiring(StartRequirement other) {
    return with(tasks, advice, other, avoidance);
  }

  /** Returns the same step with other executors to avoid. */
  WaitingStep avoiding(Avoidance other) {
    return with(tasks, advice, requirement, other);
  }

  /**
   * Returns the same step as if it had tickets for all executors but those that external advice
   * forbids.
   */
  WaitingStep anticipatingAdvice() {
    return advised(advice.map(known -> new StepAdvice.Anticipated(known.forbidden())));
  }

  /** Returns the same step with other advice. */
  WaitingStep advised(Optional<StepAdvice> other) {
    return other.equals(advice) ? this : with(tasks, other, requirement, avoidance);
  }

  private WaitingStep with(
      List<TaskProgress> newTasks,
      Optional<StepAdvice> newAdvice,
      StartRequirement newRequirement,
      Avoidance newAvoidance) {
    return new WaitingStep(
        step,
        newTasks,
        pool,
        rank,
        acceptedMillis,
        timing,
        newAdvice,
        maxAttempts,
        newRequirement,
        newAvoidance);
  }

  /** Returns how often the gang, or the task that has failed most, has failed. */
  int failures() {
    return step.spec().gang()
        ? step.gangFailures()
        : tasks.stream().mapToInt(TaskProgress::failures).max().orElse(0);
  }

  /** Returns how many of its tasks can only start together: all of a gang, or one. */
  int startsTogether() {
    return step.spec().gang() ? tasks.size() : 1;
  }

  /** Tells whether an executor is in its pool and has the label that it asks for. */
  boolean suits(ExecutorProfile executor) {
    Optional<String> label = step.spec().placement().label();
    boolean labelled = label.isEmpty() || executor.labels().contains(label.get());
    return labelled && executor.pool().equals(pool);
  }

  /** Tells whether external advice permits an executor to run the step. */
  public boolean permits(Incarnation executor) {
    return advice.map(known -> known.permits(executor)).orElse(true);
  }

  /** Returns the estimated work of the waiting tasks, in seconds of one core. */
  public double estimatedCoreSeconds() {
    return step.spec().estimatedCoreSeconds() * tasks.size() / step.spec().count();
  }
}
