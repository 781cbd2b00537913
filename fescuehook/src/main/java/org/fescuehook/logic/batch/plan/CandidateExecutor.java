package org.fescuehook.logic.batch.plan;

import org.fescuehook.logic.batch.executor.CrashEvaluator;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.logic.batch.statistics.ExecutorStanding;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;

/** An executor and its free capacity while a plan is made. */
final class CandidateExecutor {

  private final ExecutorState executor;
  private final PlannedTasks planned;
  private final boolean suspect;
  private final boolean recentlyRestarted;
  private final int speedClass;
  private final ExecutorStanding standing;
  private int trialsLeft = Integer.MAX_VALUE;
  private ResourceVector free;
  private boolean servesUsers;
  private boolean runsOtherWork;
  private boolean onProbation;
  private boolean fragile;

  /**
   * Creates a candidate.
   *
   * @param planned what the plan has placed so far
   * @param suspect whether runs have recently failed or been slow there
   * @param recentlyRestarted whether the executor is known to have crashed recently
   * @param speedClass class of its speed; 0 is the usual speed of the fleet
   * @param standing how likely runs are to succeed there
   */
  CandidateExecutor(
      ExecutorState executor,
      ResourceVector free,
      PlannedTasks planned,
      boolean suspect,
      boolean recentlyRestarted,
      int speedClass,
      ExecutorStanding standing) {
    this.executor = executor;
    this.free = free;
    this.planned = planned;
    this.suspect = suspect;
    this.recentlyRestarted = recentlyRestarted;
    this.speedClass = speedClass;
    this.standing = standing;
  }

  /** Returns the class of its speed: executors of one class count as equally fast. */
  int speedClass() {
    return speedClass;
  }

  boolean suspect() {
    return suspect;
  }

  boolean recentlyRestarted() {
    return recentlyRestarted;
  }

  /** Tells whether evidence against this very executor makes it likely that runs fail here. */
  boolean doubted() {
    return standing.doubted();
  }

  /**
   * Returns how many more tasks of a step may be placed here. This is limited on a doubted executor
   * unless the step starts on any executor: a guaranteed start must not wait for trials to end.
   */
  int trialsLeft(WaitingStep waiting) {
    return waiting.requirement().limitsTrials() ? Math.max(0, trialsLeft) : Integer.MAX_VALUE;
  }

  /**
   * Returns where this executor stands in the order of placement: doubted ones come first for work
   * that is suited to try them, and last for all other work, those that are least likely to be
   * faulty before the others.
   */
  double trialOrder(WaitingStep waiting) {
    if (!doubted()) {
      return 0;
    }
    return waiting.requirement().trial() ? -1 : 1 + standing.faultProbability();
  }

  /** Returns the probability that it fails the runs that it starts. */
  double faultProbability() {
    return standing.faultProbability();
  }

  /** Limits the tasks on a doubted executor, less those that are being tried there already. */
  void limitTrials() {
    if (doubted()) {
      long tried =
          executor.runs().stream()
              .filter(run -> run.placedAt() - standing.doubtedSince() >= 0)
              .count();
      trialsLeft = (int) Math.max(0, standing.maxTrials() - tried);
    }
  }

  /** Tells whether any work is on the executor. */
  boolean occupied() {
    return servesUsers || runsOtherWork;
  }

  ExecutorState executor() {
    return executor;
  }

  ResourceVector free() {
    return free;
  }

  /** Returns how many tasks of a step are on the executor or have been placed there by the plan. */
  int countTasks(StepProgress step) {
    return executor.countTasks(step) + planned.count(step, executor);
  }

  /** Reserves capacity for a task. */
  void reserve(StepProgress step, TaskProgress task) {
    free = free.minus(step.spec().demand());
    trialsLeft -= doubted() ? 1 : 0;
    addWork(step.spec());
    onProbation |= task.crashes().mayCrash();
  }

  /** Records that a task of a step is on the executor. */
  void addWork(BatchStep step) {
    servesUsers |= step.servesUsers();
    runsOtherWork |= !step.servesUsers();
    fragile |= step.gang() || step.longRunning().isPresent();
  }

  /** Records that a run is on the executor, and whether it is suspected of crashing executors. */
  void addWork(LiveRun run, long nowNanos) {
    addWork(run.step().spec());
    onProbation |= CrashEvaluator.onProbation(run, nowNanos);
  }

  /** Tells whether a run suspected of crashing executors is starting here, or has just started. */
  boolean onProbation() {
    return onProbation;
  }

  /**
   * Tells whether a crash would cost more than the runs that are here, because one of them belongs
   * to a gang or to a long-running step.
   */
  boolean fragile() {
    return fragile;
  }

  /**
   * Tells whether sharing the executor would lengthen the response times of the step, or of tasks
   * that are here.
   */
  boolean interferesWith(BatchStep step) {
    return step.servesUsers() ? runsOtherWork : servesUsers;
  }

  /**
   * Returns the number of accelerators that can be used together with cores and memory: at most the
   * share of the accelerators that equals the free share of the cores and of the memory.
   */
  int usableAccelerators() {
    ResourceVector total = executor.profile().capacity();
    double share =
        Math.min(
            FleetCapacity.share(free.milliCores(), total.milliCores()),
            FleetCapacity.share(free.memoryMegabytes(), total.memoryMegabytes()));
    return (int) Math.max(0, Math.min(free.accelerators(), share * total.accelerators()));
  }

  boolean isInRack(RackId rack) {
    return executor.profile().rack().equals(rack);
  }

  void release(ResourceVector demand) {
    free = free.plus(demand);
  }

  /** Limits the free capacity to some amounts, each resource by itself. */
  void limitFree(ResourceVector most) {
    free =
        new ResourceVector(
            Math.min(free.milliCores(), most.milliCores()),
            Math.min(free.memoryMegabytes(), most.memoryMegabytes()),
            Math.min(free.accelerators(), most.accelerators()));
  }

  CandidateExecutor copy() {
    CandidateExecutor copy =
        new CandidateExecutor(
            executor, free, planned, suspect, recentlyRestarted, speedClass, standing);
    copy.trialsLeft = trialsLeft;
    copy.servesUsers = servesUsers;
    copy.runsOtherWork = runsOtherWork;
    copy.onProbation = onProbation;
    copy.fragile = fragile;
    return copy;
  }

  /**
   * Tells whether a step may run here at all, regardless of capacity: it does not avoid the
   * executor, which is as reliable as the step requires.
   */
  boolean isEligible(WaitingStep waiting) {
    Incarnation incarnation = executor.incarnation();
    if (!waiting.requirement().accepts(standing)) {
      return false;
    }
    if (waiting.avoidance().avoids(incarnation, suspect) || !waiting.permits(incarnation)) {
      return false;
    }
    return waiting.suits(executor.profile());
  }
}
