package org.fescuehook.model.batch;

import java.util.List;
import java.util.Optional;
import org.fescuehook.model.fleet.RackId;

/**
 * A step of a batch job: a number of tasks of the same kind.
 *
 * @param count number of tasks, at least 1
 * @param demand resources that each task needs
 * @param estimateMillis duration of a task as estimated by the caller; may be far off
 * @param dependsOn numbers of the earlier steps that must be done first
 * @param placement rules for the placement of its tasks
 * @param checkpointing whether its tasks save checkpoints
 * @param gang whether its tasks must all run at the same time
 * @param image name of the program that the tasks run; tasks of one image behave alike
 * @param longRunning present if its tasks run until their job is cancelled
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
    Optional<LongRunning> longRunning) {

  private static final double MILLIS_PER_SECOND = 1000.0;

  /** Copies the list. */
  public BatchStep {
    dependsOn = List.copyOf(dependsOn);
  }

  /** Creates a step that is not long-running: its tasks end by themselves. */
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

  /**
   * Returns whether its tasks serve users. Other runs on the same executor lengthen the response
   * times of such tasks.
   */
  public boolean servesUsers() {
    return longRunning.filter(work -> work.targetMillis() > 0).isPresent();
  }

  /** Returns the estimated work of all tasks, in seconds of one core. */
  public double estimatedCoreSeconds() {
    return demand.coreEquivalents() * estimateMillis / MILLIS_PER_SECOND * count;
  }

  /**
   * The properties of a long-running step. Its tasks run until their job is cancelled, and are
   * restarted however they end.
   *
   * @param maxUnavailable largest number of its tasks that the scheduler may make unavailable at
   *     once
   * @param targetMillis upper bound on the response times of tasks that serve users; 0 if the tasks
   *     serve no users
   */
  public record LongRunning(int maxUnavailable, long targetMillis) {}

  /**
   * Where the tasks of a step may run, and where they run well.
   *
   * @param sameRack whether the tasks run slowly unless all of them are in one rack
   * @param label label that an executor must have; empty for any executor
   * @param affinity rack that holds the data of the tasks; in other racks they run slowly
   * @param maxPerExecutor largest number of tasks of one occurrence of the step on one executor; 0
   *     for no limit
   */
  public record PlacementRule(
      boolean sameRack, Optional<String> label, Optional<RackId> affinity, int maxPerExecutor) {

    /** Permits any placement and prefers none. */
    public static final PlacementRule ANYWHERE =
        new PlacementRule(false, Optional.empty(), Optional.empty(), 0);
  }
}
