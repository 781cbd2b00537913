package org.fescuehook.logic.batch.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.fescuehook.logic.batch.executor.CrashEvidence;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;

/**
 * The executors that were lost while they ran a task.
 *
 * @param losses the losses in the order of the runs
 */
public record CrashRecord(List<ExecutorLoss> losses) {

  /** The record of a task under which no executor was lost. */
  public static final CrashRecord NONE = new CrashRecord(List.of());

  /** Number of early crashes after which a task is given up if it ran alone in the latest one. */
  private static final int EARLY_CRASH_LIMIT_ALONE = 2;

  /** Number of early crashes after which a task is given up in any case. */
  private static final int EARLY_CRASH_LIMIT = 3;

  /** Number of lost executors after which the further runs of a task are limited. */
  private static final int LOSSES_BEFORE_RUN_LIMIT = 3;

  /**
   * Runs allowed after that loss, however they end, before a task is given up; the users' limit is
   * one more.
   */
  private static final int RUN_LIMIT = 2;

  /** Number of lost executors that must have crashed for certain before the runs are limited. */
  private static final int MIN_CERTAIN_CRASHES = 2;

  /** Number of lost executors from which on a task is suspect although no crash was early. */
  private static final int SUSPICIOUS_LOSSES = 2;

  /** Copies the list. */
  public CrashRecord {
    losses = List.copyOf(losses);
  }

  /**
   * Returns the record that an earlier version stored, which kept only numbers of losses.
   *
   * @param early executors that crashed soon after they had started the task
   * @param late executors that crashed after the task had run for a while
   * @param other lost executors that may not have crashed, or may not have run the task
   * @param alone whether no other run was on the executor of the latest early crash
   * @param thirdLossRun number of the run with which the third executor was lost; 0 if fewer were
   */
  static CrashRecord ofCounts(int early, int late, int other, boolean alone, int thirdLossRun) {
    if (early + late + other == 0) {
      return NONE;
    }
    List<CrashEvidence> evidence = new ArrayList<>();
    evidence.addAll(Collections.nCopies(other, CrashEvidence.DOUBTFUL));
    evidence.addAll(Collections.nCopies(late, CrashEvidence.WEAK));
    evidence.addAll(
        Collections.nCopies(early, alone ? CrashEvidence.STRONG_ALONE : CrashEvidence.STRONG));
    List<ExecutorLoss> losses = new ArrayList<>();
    for (CrashEvidence ofLoss : evidence) {
      int run = losses.size() + 1 < LOSSES_BEFORE_RUN_LIMIT ? 0 : thirdLossRun;
      losses.add(ExecutorLoss.certain(run, ofLoss));
    }
    return new CrashRecord(losses);
  }

  /**
   * Returns the record with one more lost executor.
   *
   * @param run number of the run that was on the executor
   * @param executor the incarnation that was lost
   */
  public CrashRecord plus(CrashEvidence evidence, int run, Incarnation executor) {
    if (evidence == CrashEvidence.NONE) {
      return this;
    }
    Optional<Incarnation> mayReturn =
        switch (evidence) {
          case UNRESOLVED, GONE -> Optional.of(executor);
          case NONE, DOUBTFUL, WEAK, STRONG, STRONG_ALONE -> Optional.empty();
        };
    List<ExecutorLoss> more = new ArrayList<>(losses);
    more.add(new ExecutorLoss(run, evidence, mayReturn));
    return new CrashRecord(more);
  }

  /** Returns the record after a run whose start was never sent; such a run does not count. */
  public CrashRecord withoutRun() {
    return losses.size() < LOSSES_BEFORE_RUN_LIMIT
        ? this
        : with(loss -> true, ExecutorLoss::withoutRun);
  }

  /** Returns the record without the losses of an incarnation that has not crashed. */
  CrashRecord withoutLossesOf(Incarnation alive) {
    List<ExecutorLoss> others = losses.stream().filter(loss -> !loss.mayReturn(alive)).toList();
    return others.size() == losses.size() ? this : new CrashRecord(others);
  }

  /** Returns the record with the losses of an incarnation as crashes. */
  CrashRecord withCrashOf(Incarnation ended) {
    return with(loss -> loss.mayReturn(ended), ExecutorLoss::crash);
  }

  /** Returns the record with the losses of all earlier incarnations of an executor as crashes. */
  CrashRecord withCrashesBefore(Incarnation alive) {
    return with(loss -> loss.mayReturn(alive.id()) && !loss.mayReturn(alive), ExecutorLoss::crash);
  }

  /**
   * Returns the record with the losses of an executor as crashes unless the executor returns after
   * all.
   */
  CrashRecord withPresumedCrashOf(ExecutorId executor) {
    return with(loss -> loss.unresolved() && loss.mayReturn(executor), ExecutorLoss::presumedCrash);
  }

  private CrashRecord with(Predicate<ExecutorLoss> selected, UnaryOperator<ExecutorLoss> change) {
    if (losses.stream().noneMatch(selected)) {
      return this;
    }
    return new CrashRecord(
        losses.stream().map(loss -> selected.test(loss) ? change.apply(loss) : loss).toList());
  }

  /** Returns the executors that may turn out not to have crashed. */
  List<ExecutorId> executorsThatMayReturn() {
    return losses.stream().flatMap(loss -> loss.mayReturn().stream()).map(Incarnation::id).toList();
  }

  /** Returns the number of executors that crashed soon after they had started the task. */
  public int early() {
    return count(ExecutorLoss::early);
  }

  /** Returns the number of executors that crashed after the task had run for a while. */
  public int late() {
    return count(loss -> loss.evidence() == CrashEvidence.WEAK);
  }

  /** Returns the number of lost executors that may not have crashed, or not under the task. */
  public int other() {
    return losses.size() - early() - late();
  }

  /** Returns whether no other run was on the executor of the latest early crash. */
  public boolean alone() {
    return losses.reversed().stream()
        .filter(ExecutorLoss::early)
        .findFirst()
        .filter(latest -> latest.evidence() == CrashEvidence.STRONG_ALONE)
        .isPresent();
  }

  /** Returns the number of the run with which the third executor was lost; 0 if fewer were. */
  public int thirdLossRun() {
    return losses.size() < LOSSES_BEFORE_RUN_LIMIT
        ? 0
        : losses.get(LOSSES_BEFORE_RUN_LIMIT - 1).run();
  }

  private int count(Predicate<ExecutorLoss> selected) {
    return (int) losses.stream().filter(selected).count();
  }

  /**
   * Returns whether the task must not be started again.
   *
   * @param lastRun number of its newest run
   */
  public boolean mustGiveUp(int lastRun) {
    if (losses.stream().noneMatch(ExecutorLoss::unresolved)) {
      return limitReached(lastRun);
    }
    return new CrashRecord(losses.stream().filter(loss -> !loss.unresolved()).toList())
        .limitReached(lastRun);
  }

  /**
   * Returns whether the task must not be started before it is known what became of an executor: it
   * would have to be given up if the executors that may have crashed had done so.
   *
   * @param lastRun number of its newest run
   */
  public boolean mustWait(int lastRun) {
    return !losses.isEmpty() && limitReached(lastRun) && !mustGiveUp(lastRun);
  }

  private boolean limitReached(int lastRun) {
    boolean runLimitReached =
        losses.size() >= LOSSES_BEFORE_RUN_LIMIT
            && lastRun - thirdLossRun() >= RUN_LIMIT
            && early() + late() >= MIN_CERTAIN_CRASHES;
    return runLimitReached
        || early() >= EARLY_CRASH_LIMIT
        || (early() >= EARLY_CRASH_LIMIT_ALONE && alone())
        || losses.size() >= LOSSES_BEFORE_RUN_LIMIT + RUN_LIMIT;
  }

  /**
   * Returns whether the evidence against the task is the least that makes it suspect, which many
   * tasks share that were lost together.
   */
  public boolean slight() {
    return early() <= 1 && losses.size() <= SUSPICIOUS_LOSSES;
  }

  /** Returns whether the task is suspected to crash its executors. */
  public boolean mayCrash() {
    return !losses.isEmpty() && (losses.size() >= SUSPICIOUS_LOSSES || early() > 0);
  }
}
