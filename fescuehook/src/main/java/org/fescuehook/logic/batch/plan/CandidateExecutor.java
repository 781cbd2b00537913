package org.fescuehook.logic.batch.plan;

import java.util.Optional;
import org.fescuehook.logic.batch.executor.CrashEvaluator;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.Demand;
import org.fescuehook.model.fleet.Incarnation;

/** Room on one executor while a plan is made. */
final class CandidateExecutor {

  private final ExecutorState executor;
  private final boolean suspect;
  private final boolean restartedLately;
  private Demand free;
  private boolean serving;
  private boolean filling;
  private boolean probation;
  private boolean fragile;

  /**
   * Creates a slot.
   *
   * @param suspect whether runs have lately failed there or hardly progressed
   * @param restartedLately whether it is known to have crashed not long ago
   */
  CandidateExecutor(ExecutorState executor, Demand free, boolean suspect, boolean restartedLately) {
    this.executor = executor;
    this.free = free;
    this.suspect = suspect;
    this.restartedLately = restartedLately;
  }

  boolean suspect() {
    return suspect;
  }

  boolean recentlyRestarted() {
    return restartedLately;
  }

  /** Tells whether any work is here. */
  boolean occupied() {
    return serving || filling;
  }

  ExecutorState executor() {
    return executor;
  }

  Demand free() {
    return free;
  }

  /** Takes room for a task. */
  void take(StepProgress step, TaskProgress task) {
    free = free.minus(step.spec().demand());
    holds(step.spec());
    probation |= task.crashes().mayCrash();
  }

  /** Remembers that a task of a step is here. */
  void holds(BatchStep step) {
    serving |= step.serves();
    filling |= !step.serves();
    fragile |= step.gang() || step.lasting().isPresent();
  }

  /** Remembers that a run is here, and whether that may crash the executor. */
  void holds(LiveRun run, long nowNanos) {
    holds(run.step().spec());
    probation |= CrashEvaluator.onProbation(run, nowNanos);
  }

  /** Tells whether something starts or has just started here that may crash the executor. */
  boolean onProbation() {
    return probation;
  }

  /** Tells whether a crash would cost more than the work that is here: a gang, or lasting work. */
  boolean fragile() {
    return fragile;
  }

  /** Tells whether other work here would lengthen response times: this step's, or by this step. */
  boolean disturbs(BatchStep step) {
    return step.serves() ? filling : serving;
  }

  void give(Demand demand) {
    free = free.plus(demand);
  }

  CandidateExecutor copy() {
    CandidateExecutor copy = new CandidateExecutor(executor, free, suspect, restartedLately);
    copy.serving = serving;
    copy.filling = filling;
    copy.probation = probation;
    copy.fragile = fragile;
    return copy;
  }

  /**
   * Tells whether the step may run here at all, room aside. A step that has failed avoids where it
   * failed, and suspects: it has few attempts left. Gangs avoid suspects, since one would hold all
   * members up.
   */
  boolean suits(WaitingStep waiting) {
    StepProgress step = waiting.step();
    boolean avoided = suspect && (step.hasFailed() || step.spec().gang());
    Incarnation life = executor.incarnation();
    if (avoided || step.failedOn(life) || !waiting.permits(life)) {
      return false;
    }
    Optional<String> label = step.spec().placement().label();
    boolean labelled = label.isEmpty() || executor.profile().labels().contains(label.get());
    return labelled && executor.profile().pool().equals(waiting.pool());
  }
}
