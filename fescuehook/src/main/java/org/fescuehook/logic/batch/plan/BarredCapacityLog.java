package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.statistics.StartReliability;
import org.fescuehook.model.batch.BatchStep;

/**
 * Logs why a step keeps waiting although it would fit: earlier failures, doubts or missing advice
 * bar it from executors with free capacity, or that capacity stays free for urgent work. A step
 * that waits for capacity is not logged.
 */
final class BarredCapacityLog {

  /** Wait from which on a step is checked; most doubts are settled before. */
  private static final long MIN_WAIT_NANOS = Duration.ofSeconds(3).toNanos();

  /** The check counts the whole fleet for each waiting step, which is too costly for each plan. */
  private static final long CHECK_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

  private static final long REPEAT_NANOS = Duration.ofSeconds(10).toNanos();

  private final StartReliability reliability;
  private final Map<StepProgress, Long> loggedAt = new WeakHashMap<>();
  private long checkedAt;

  BarredCapacityLog(StartReliability reliability, long nowNanos) {
    this.reliability = reliability;
    this.checkedAt = nowNanos;
  }

  /**
   * Checks the steps that a plan has not started.
   *
   * @param usable executors on which new runs may be placed
   */
  void check(
      List<WaitingStep> waiting,
      Planner.Plan plan,
      List<ExecutorState> usable,
      BatchContext context) {
    long nowNanos = context.nowNanos();
    if (nowNanos - checkedAt < CHECK_INTERVAL_NANOS) {
      return;
    }
    checkedAt = nowNanos;
    Map<StepProgress, Planner.HeldBack> heldBack = new IdentityHashMap<>();
    plan.heldBack().forEach(held -> heldBack.put(held.waiting().step(), held));
    Set<StepProgress> started = plan.startedSteps();
    for (WaitingStep step : waiting) {
      long waitedNanos = step.timing().queuedNanos();
      if (waitedNanos < MIN_WAIT_NANOS
          || started.contains(step.step())
          || isLogged(step, nowNanos)) {
        continue;
      }
      Barred barred = count(step, usable, nowNanos);
      if (barred.keepsWaiting(step)) {
        noteBarred(step, barred, context);
      } else if (heldBack.containsKey(step.step()) && barred.fits(step)) {
        noteHeldBack(heldBack.get(step.step()), context);
      }
    }
  }

  private void noteBarred(WaitingStep step, Barred barred, BatchContext context) {
    loggedAt.put(step.step(), context.nowNanos());
    context.note(
        BatchLogEvent.BARRED_FROM_FREE_CAPACITY,
        step.step().name(),
        TimeUnit.NANOSECONDS.toMillis(step.timing().queuedNanos()),
        barred.executors(),
        barred.failed(),
        barred.doubted(),
        barred.unadvised());
    context.count("fescuehook.batch.steps.barred", "cause", barred.mainCause());
  }

  private void noteHeldBack(Planner.HeldBack held, BatchContext context) {
    WaitingStep step = held.waiting();
    loggedAt.put(step.step(), context.nowNanos());
    context.note(
        BatchLogEvent.HELD_BACK_FOR_URGENT_WORK,
        step.step().name(),
        TimeUnit.NANOSECONDS.toMillis(step.timing().queuedNanos()),
        held.free(),
        held.total(),
        step.pool(),
        held.keptFree());
    context.count("fescuehook.batch.steps.barred", "cause", "urgent-reserve");
  }

  private boolean isLogged(WaitingStep step, long nowNanos) {
    Long last = loggedAt.get(step.step());
    return last != null && nowNanos - last < REPEAT_NANOS;
  }

  /**
   * What bars a step from executors with free capacity for it.
   *
   * @param executors number of executors with free capacity
   * @param failed those on which runs of it have failed
   * @param doubted those that are doubted
   * @param unadvised those that external advice does not permit
   * @param fitting number of tasks that fit onto all executors
   * @param open number of tasks that fit onto executors from which nothing bars it
   */
  private record Barred(
      int executors, int failed, int doubted, int unadvised, long fitting, long open) {

    boolean fits(WaitingStep step) {
      return fitting >= step.startsTogether();
    }

    boolean keepsWaiting(WaitingStep step) {
      return fits(step) && open < step.startsTogether();
    }

    String mainCause() {
      int most = Math.max(failed, Math.max(doubted, unadvised));
      if (most == failed) {
        return "failures";
      }
      return most == doubted ? "doubts" : "advice";
    }
  }

  private Barred count(WaitingStep step, List<ExecutorState> usable, long nowNanos) {
    BatchStep spec = step.step().spec();
    int executors = 0;
    int failed = 0;
    int doubted = 0;
    int unadvised = 0;
    long fitting = 0;
    long open = 0;
    Avoidance avoidance = Avoidance.usual(step, nowNanos);
    for (ExecutorState executor : usable) {
      int fits = step.suits(executor.profile()) ? executor.free().fits(spec.demand()) : 0;
      if (fits <= 0) {
        continue;
      }
      executors++;
      fitting += fits;
      boolean failedThere = avoidance.failedOn().contains(executor.incarnation());
      boolean doubtedThere = reliability.standing(executor, nowNanos).doubted();
      boolean unadvisedThere = !step.permits(executor.incarnation());
      failed += failedThere ? 1 : 0;
      doubted += doubtedThere ? 1 : 0;
      unadvised += unadvisedThere ? 1 : 0;
      open += failedThere || doubtedThere || unadvisedThere ? 0 : fits;
    }
    return new Barred(executors, failed, doubted, unadvised, fitting, open);
  }
}
