package org.fescuehook.model.batch;

import java.util.List;
import java.util.Optional;
import org.fescuehook.model.fleet.RackId;

/**
 * A step of a batch job: tasks of one kind.
 *
 * @param count number of tasks, at least 1
 * @param demand what each task needs
 * @param estimateMillis rough duration of a task as declared by the caller; may be far off
 * @param dependsOn numbers of the earlier steps that must be done first
 * @param placement where its tasks may run
 * @param checkpointing whether its tasks save their progress
 * @param gang whether its tasks run only all together
 * @param image what the tasks run; tasks of one image behave alike
 * @param lasting present if its tasks run until their job is cancelled
 */
public record BatchStep(
    int count,
    ResourceVector demand,
    long estimateMillis,
    List<Integer> dependsOn,
    PlacementRule placement,
    boolean checkpointing,
    boolean gang,
    String image,
    Optional<LongRunning> lasting) {

  private static final double MILLIS_PER_SECOND = 1000.0;

  /** Copies the list. */
  public BatchStep {
    dependsOn = List.copyOf(dependsOn);
  }

  /** Creates a step whose tasks end by themselves. */
  public BatchStep(
      int count,
      ResourceVector demand,
      long estimateMillis,
      List<Integer> dependsOn,
      PlacementRule placement,
      boolean checkpointing,
      boolean gang,
      String image) {
    this(
        count,
        demand,
        estimateMillis,
        dependsOn,
        placement,
        checkpointing,
        gang,
        image,
        Optional.empty());
  }

  /** Tells whether its tasks serve users, whose response times other work beside them lengthens. */
  public boolean serves() {
    return lasting.filter(work -> work.targetMillis() > 0).isPresent();
  }

  /** Returns the work of all tasks by their estimate, in seconds of one core. */
  public double estimatedCoreSeconds() {
    return demand.coreEquivalents() * estimateMillis / MILLIS_PER_SECOND * count;
  }

  /**
   * Work without an end of its own: its tasks run until their job is cancelled, and start again
   * however they end.
   *
   * @param mostAway most of its tasks that may be away at once by the scheduler's doing
   * @param targetMillis bound on the response times of a task that serves users; 0 if it serves
   *     none
   */
  public record LongRunning(int mostAway, long targetMillis) {}

  /**
   * Where the tasks of a step may run and where they run well.
   *
   * @param sameRack whether the tasks run slowly unless they share one rack
   * @param label what an executor must be labelled with
   * @param affinity rack with the data; elsewhere the tasks run slowly
   * @param mostPerExecutor most tasks of one occurrence of the step on one executor; 0 for any
   *     number
   */
  public record PlacementRule(
      boolean sameRack, Optional<String> label, Optional<RackId> affinity, int mostPerExecutor) {

    /** Anywhere. */
    public static final PlacementRule ANYWHERE =
        new PlacementRule(false, Optional.empty(), Optional.empty(), 0);
  }
}
