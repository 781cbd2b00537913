package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.CrashEvaluator.Loss;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;

/**
 * Polls executors, renews their leases and sends them orders until it is certain what became of
 * each run.
 */
public final class ExecutorDuty {

  /**
   * Time after which the outcome of an order counts as lost between the network and the decisions.
   * Polls end after 1.4 s; other orders to one executor are sent three at a time and end after 0.6
   * s each. The timeout exceeds the longest lag of the decisions on weak VMs, 2.2 s, since outcomes
   * queued for the decisions are not lost.
   */
  private static final long OUTCOME_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

  /**
   * Interval between checks of all executors; half of the tick on which polls and lease renewals
   * rely.
   */
  private static final long FULL_PASS_INTERVAL_NANOS = Duration.ofMillis(25).toNanos();

  /** Why a placement is given up in an evacuated failure domain. */
  static final String EVACUATED = "its failure domain is evacuated";

  private final AnswerStatistics answers;
  private final OrderSender orders;
  private final ExecutorPoller poller;
  private final Throttler throttler;
  private final StartOutcomeHandler startOutcomes;
  private final ReportHandler reportHandler;
  private final LostExecutorHandler lostExecutors;
  private final RestartHandler restarts;
  private final EvacuationHandler evacuations;
  private final long inheritedLeaseNanos;
  private final ExecutorRegistry registry = new ExecutorRegistry();
  private final RunListener listener;
  private final OrphanedRuns orphans;
  private final Set<ExecutorState> withNewOutcomes = new LinkedHashSet<>();
  private long nextFullPassAt;

  /**
   * Creates the duty of an epoch.
   *
   * @param statistics receives what the reports of executors show
   */
  public ExecutorDuty(
      long epoch,
      ExecutorTimes times,
      RunListener listener,
      SchedulingStatistics statistics,
      BatchContext context) {
    this.nextFullPassAt = context.nowNanos();
    this.answers = new AnswerStatistics(times.gangTimeout());
    this.orders = new OrderSender(epoch, times.lease(), answers);
    this.poller = new ExecutorPoller(registry, orders, answers);
    this.throttler = new Throttler(orders);
    this.startOutcomes =
        new StartOutcomeHandler(registry, orders, throttler, listener, statistics, answers);
    this.inheritedLeaseNanos = times.inheritedLease().toNanos();
    this.orphans = new OrphanedRuns(context.nowNanos() + inheritedLeaseNanos);
    this.listener = listener;
    this.reportHandler =
        new ReportHandler(orders, throttler, listener, times.longestLease(), statistics);
    this.lostExecutors = new LostExecutorHandler(registry, reportHandler);
    this.evacuations = new EvacuationHandler(registry, reportHandler);
    this.restarts =
        new RestartHandler(
            registry, orders, poller, throttler, reportHandler, times.longestLease());
  }

  /** Returns the registry of executors. */
  public ExecutorRegistry registry() {
    return registry;
  }

  /**
   * Sets the pools that jobs may run in. Executors of other pools are polled only if a run may be
   * alive there.
   */
  public void setPools(Set<String> pools) {
    poller.setPools(pools);
  }

  /** Replaces the evacuated failure domains. */
  public void evacuate(Set<FailureDomain> domains, BatchContext context) {
    evacuations.replace(domains, context);
  }

  /** Takes over the runs of a former owner; called once, before the first step. */
  public void inherit(List<LiveRun> runs, BatchContext context) {
    for (LiveRun run : runs) {
      Optional<ExecutorState> executor = registry.find(run.executor());
      if (executor.isPresent()) {
        adopt(executor.get(), run, context);
      } else {
        orphans.add(run);
      }
    }
    throttler.releaseInherited(runs, run -> registry.find(run.executor()), context);
  }

  private void adopt(ExecutorState executor, LiveRun run, BatchContext context) {
    executor.add(run);
    executor.lease().mayLastUntil(context.nowNanos() + inheritedLeaseNanos);
    if (run.stage() == Stage.STOPPING) {
      // The executor was not listed when the stop was decided.
      orders.stop(executor, run, context);
    }
  }

  /**
   * Handles an entry of the executor list.
   *
   * @return whether the entry contains anything new
   */
  public boolean handleEntry(ExecutorProfile profile, BatchContext context) {
    Optional<ExecutorState> found = registry.find(profile.id());
    if (found.isEmpty()) {
      ExecutorState executor = new ExecutorState(profile, orders.baseline());
      lostExecutors.listed(executor, context);
      evacuations.update(executor);
      registry.add(executor);
      orphans.take(profile.id()).forEach(run -> adopt(executor, run, context));
      return true;
    }
    boolean startedEarlier = profile.incarnation().startedBefore(found.get().incarnation());
    if (startedEarlier && !found.get().silent()) {
      // Either the entry is outdated or the clock of the executor was set back before it restarted.
      // The answer to the next poll tells, and the entry is written again every second or two.
      found.get().markUnconfirmed();
      return false;
    }
    boolean same = found.get().listed() && found.get().profile().equals(profile);
    boolean wasLeaving = found.get().profile().leaving();
    ExecutorState executor = restarts.entryListed(found.get(), profile, context);
    executor.updateProfile(profile);
    listener.observed(new ExecutorSign.Listed(executor.incarnation()), context);
    evacuations.update(executor);
    if (profile.leaving() && !wasLeaving) {
      context.note(BatchLogEvent.EXECUTOR_LEAVING, executor.incarnation(), executor.runs().size());
      listener.leaving(executor, context);
    }
    return !same;
  }

  /** Records that an executor is no longer listed. */
  public void unlisted(ExecutorId id) {
    registry.find(id).ifPresent(ExecutorState::markUnlisted);
  }

  /**
   * Sends the orders that are due. Executors with new order outcomes since the last step are
   * checked at once and all others at intervals, since checking each executor of a large fleet
   * costs more than handling most events.
   */
  public void step(BatchContext context) {
    if (context.nowNanos() - nextFullPassAt < 0) {
      List.copyOf(withNewOutcomes).forEach(executor -> check(executor, context));
      withNewOutcomes.clear();
      return;
    }
    nextFullPassAt = context.nowNanos() + FULL_PASS_INTERVAL_NANOS;
    withNewOutcomes.clear();
    registry.snapshot().forEach(executor -> check(executor, context));
    poller.pollUnresponsive(context);
    orphans
        .takeLost(context.nowNanos())
        .forEach(
            run ->
                reportHandler.reportLostWithExecutor(
                    run,
                    CrashEvidence.GONE,
                    "its executor is not listed and its lease has expired",
                    context));
  }

  private void check(ExecutorState executor, BatchContext context) {
    poller.timeOutOverdue(executor, OUTCOME_TIMEOUT_NANOS, context);
    resolveSilence(executor, context);
    repeatOrders(executor, context);
    poller.poll(executor, context);
  }

  private void resolveSilence(ExecutorState executor, BatchContext context) {
    boolean silent = executor.missedPolls() > 0;
    if (silent && context.nowNanos() - executor.lease().expiryNanos() > 0) {
      lostExecutors.loseAll(executor, Loss.SILENT, "silent until its lease had expired", context);
    }
    boolean mayRun = !executor.runs().isEmpty() || (executor.hasUnknownRuns() && !silent);
    boolean idle = !mayRun && executor.poll().isEmpty();
    boolean acknowledges = executor.runEnds().needsAcknowledgement() && !silent;
    // It may be listed again in a moment, and would then report run ends again that are still
    // being stored.
    if (!executor.listed() && idle && !acknowledges && !executor.runEnds().hasUnstored()) {
      context.note(BatchLogEvent.EXECUTOR_FORGOTTEN, executor.incarnation());
      forget(executor, context);
    }
  }

  private void forget(ExecutorState executor, BatchContext context) {
    registry.remove(executor);
    withNewOutcomes.remove(executor);
    throttler.forget(executor);
    context.add(new BatchCommand.ForgetExecutor(executor.profile().id()));
  }

  private void repeatOrders(ExecutorState executor, BatchContext context) {
    long stopRetryNanos = answers.orderTimeout().toNanos();
    for (LiveRun run : List.copyOf(executor.runs())) {
      boolean overdue = context.nowNanos() - run.orderedAt() > OUTCOME_TIMEOUT_NANOS;
      if (run.stage() == Stage.STARTING && executor.reached() && overdue) {
        startOutcomes.handle(
            executor, run, new OrderOutcome.Unanswered("no outcome came"), context);
        continue;
      }
      boolean stopPending = run.stage() == Stage.STOPPING && !run.stopAcknowledged();
      if (stopPending && context.nowNanos() - run.orderedAt() > stopRetryNanos) {
        orders.stop(executor, run, context);
      }
    }
  }

  /**
   * Orders the start of a run whose placement is stored. Storing takes seconds if the store is
   * slow. If the run may not start on its executor by then, it is given up and its task is placed
   * elsewhere.
   *
   * @param pool pool of the executors that may run it now
   */
  public void start(LiveRun run, String pool, BatchContext context) {
    Optional<ExecutorState> executor = registry.find(run.executor());
    if (executor.isEmpty() || !executor.get().reached()) {
      return;
    }
    Optional<String> obstacle = obstacleToStart(executor.get(), pool);
    if (obstacle.isPresent()) {
      executor.get().remove(run);
      reportHandler.reportLost(run, obstacle.get(), context);
      return;
    }
    run.enter(Stage.STARTING, context.nowNanos());
    orders.start(executor.get(), run, context);
  }

  private static Optional<String> obstacleToStart(ExecutorState executor, String pool) {
    if (executor.profile().leaving()) {
      return Optional.of("its executor is leaving");
    }
    if (executor.evacuated()) {
      return Optional.of(EVACUATED);
    }
    if (executor.overbooked()) {
      return Optional.of("its executor has less free capacity now");
    }
    if (!executor.profile().pool().equals(pool)) {
      return Optional.of("its queue has another pool now");
    }
    return Optional.empty();
  }

  /** Frees the capacity of a placement whose job was not accepted. */
  public void withdraw(LiveRun placed) {
    registry.find(placed.executor()).ifPresent(executor -> executor.remove(placed));
  }

  /** Orders the stop of a run; one that was not started yet is given up at once. */
  public void stop(LiveRun run, String cause, BatchContext context) {
    if (run.stage() == Stage.STOPPING) {
      return;
    }
    Optional<ExecutorState> executor = registry.find(run.executor());
    if (executor.flatMap(state -> state.run(run.run())).isEmpty() && !orphans.contains(run)) {
      return;
    }
    if (run.stage() == Stage.PLACED) {
      executor.ifPresent(state -> state.remove(run));
      listener.lost(run, cause, context);
      return;
    }
    context.note(BatchLogEvent.RUN_STOPPING, run.run(), run.incarnation(), cause);
    run.enter(Stage.STOPPING, context.nowNanos());
    executor.ifPresent(state -> orders.stop(state, run, context));
  }

  /**
   * Handles the outcome of an order.
   *
   * @return whether the executor has become usable by it
   */
  public boolean orderCompleted(
      ExecutorId id, long number, OrderOutcome outcome, BatchContext context) {
    if (!orders.ofThisEpoch(number)) {
      return false;
    }
    orders
        .neverBegun(number, outcome)
        .ifPresent(run -> startOutcomes.stoppedUnbegun(run, outcome, context));
    Optional<LiveRun> run = orders.takeRun(number, outcome, context);
    poller.orderCompleted(number, outcome, context);
    Optional<ExecutorState> found = registry.find(id);
    if (found.isEmpty()) {
      return false;
    }
    ExecutorState executor = found.get();
    if (number <= executor.baseline().lastNumber()) {
      // It was meant for an earlier incarnation; the first answer of this one shows what became of
      // it.
      return false;
    }
    withNewOutcomes.add(executor);
    answers.orderEnded(executor.unansweredOrders(), outcome, context);
    if (outcome instanceof OrderOutcome.OtherIncarnation) {
      context.note(
          BatchLogEvent.EXECUTOR_GONE,
          executor.incarnation(),
          "another incarnation answered",
          executor.runs().size());
      run.filter(live -> live.stage() == Stage.STARTING && !live.startUncertain())
          .ifPresent(LiveRun::startNeverArrived);
      lostExecutors.loseAll(executor, Loss.RESTARTED, "its executor was restarted", context);
      forget(executor, context);
      lostExecutors.crashed(executor, context);
      return false;
    }
    if (outcome instanceof OrderOutcome.Rejected(Rejection rejection)
        && rejection == Rejection.FENCED) {
      listener.fenced(context);
      return false;
    }
    if (executor.poll().filter(poll -> poll.number() == number).isPresent()) {
      boolean usable = executor.usable(context.nowNanos());
      pollEnded(executor, outcome, context);
      return !usable && executor.usable(context.nowNanos());
    }
    // A run that has ended or been given up meanwhile holds no capacity any more.
    run.filter(live -> executor.run(live.run()).isPresent())
        .ifPresent(live -> orderEnded(executor, live, outcome, context));
    return false;
  }

  private void orderEnded(
      ExecutorState executor, LiveRun run, OrderOutcome outcome, BatchContext context) {
    if (outcome instanceof OrderOutcome.Done(long clock)) {
      executor.lease().clockRead(clock, context.nowNanos());
    }
    switch (run.stage()) {
      case STARTING -> startOutcomes.handle(executor, run, outcome, context);
      case STOPPING -> stopEnded(run, outcome, context);
      case PLACED, RUNNING, INHERITED -> {}
    }
  }

  private static void stopEnded(LiveRun run, OrderOutcome outcome, BatchContext context) {
    long millis = Duration.ofNanos(context.nowNanos() - run.stageSince()).toMillis();
    context.note(
        BatchLogEvent.STOP_ORDER_ENDED,
        run.run(),
        run.incarnation(),
        run.orders(),
        outcome,
        millis);
    if (outcome instanceof OrderOutcome.Done) {
      run.stopAcknowledged(context.nowNanos());
    }
  }

  private void pollEnded(ExecutorState executor, OrderOutcome outcome, BatchContext context) {
    if (outcome instanceof OrderOutcome.Polled polled) {
      if (restarts.pollAnswered(executor, polled.bornMillis(), context)) {
        withNewOutcomes.remove(executor);
        return;
      }
      lostExecutors.loseUnlisted(
          executor, reportHandler.handle(executor, polled, context), context);
      return;
    }
    poller.unanswered(executor, outcome, context);
  }
}
