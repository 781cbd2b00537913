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
 */
public record BatchStep(
    int count,
    Demand demand,
    long estimateMillis,
    List<Integer> dependsOn,
    PlacementRule placement,
    boolean checkpointing,
    boolean gang,
    String image) {

  private static final double MILLIS_PER_SECOND = 1000.0;

  /** Copies the list. */
  public BatchStep {
    dependsOn = List.copyOf(dependsOn);
  }

  /** Returns the work of all tasks by their estimate, in seconds of one core. */
  public double estimatedCoreSeconds() {
    return demand.coreEquivalents() * estimateMillis / MILLIS_PER_SECOND * count;
  }

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
