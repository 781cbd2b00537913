package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.executor.CrashEvaluator.Loss;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * Polls executors, renews their leases and gives them orders until each doubt about a run is
 * settled.
 */
public final class ExecutorDuty {

  /** Time between repeated stops of a run. */
  private static final long STOP_REPEAT_NANOS = Duration.ofMillis(600).toNanos();

  /**
   * Wait for the outcome of an order after which it counts as lost on its way to the decisions.
   * Polls end after 1.4 s; other orders to one executor go out three at a time and end after 0.6 s
   * each. It is longer than any lag of the decisions that was seen on weak VMs (2.2 s), as outcomes
   * that wait in front of them are not lost.
   */
  private static final long OVERDUE_NANOS = Duration.ofSeconds(10).toNanos();

  /** Time between looks at all executors; half of the tick, which leases and polls are kept to. */
  private static final long ROUND_NANOS = Duration.ofMillis(25).toNanos();

  private final OrderSender orders;
  private final ExecutorPoller polls;
  private final Throttler pacer;
  private final StartOutcomeHandler starts;
  private final ReportHandler reports;
  private final LostExecutorHandler lost;
  private final RestartHandler restarts;
  private final long inheritedLeaseNanos;
  private final ExecutorRegistry book = new ExecutorRegistry();
  private final RunListener listener;
  private final OrphanedRuns orphans;
  private final Set<ExecutorState> heardOf = new LinkedHashSet<>();
  private long nextRoundAt;

  /**
   * Creates the duty of an epoch.
   *
   * @param lease length of the leases given
   * @param longestLease the longest lease that an executor grants
   * @param inheritedLease how long leases of a former owner may last from now on
   */
  public ExecutorDuty(
      long epoch,
      Duration lease,
      Duration longestLease,
      Duration inheritedLease,
      RunListener listener,
      BatchTurn turn) {
    this.nextRoundAt = turn.nowNanos();
    this.orders = new OrderSender(epoch, lease);
    this.polls = new ExecutorPoller(book, orders);
    this.pacer = new Throttler(orders);
    this.starts = new StartOutcomeHandler(orders, pacer, listener);
    this.inheritedLeaseNanos = inheritedLease.toNanos();
    this.orphans = new OrphanedRuns(turn.nowNanos() + inheritedLeaseNanos);
    this.listener = listener;
    this.reports = new ReportHandler(orders, pacer, listener, longestLease);
    this.lost = new LostExecutorHandler(book, reports);
    this.restarts = new RestartHandler(book, orders, polls, pacer, reports, longestLease);
  }

  /** Returns the executors. */
  public ExecutorRegistry book() {
    return book;
  }

  /**
   * Names the pools that jobs may run in. An executor of any other pool is not contacted, unless
   * something runs there.
   */
  public void serve(Set<String> newer) {
    polls.serve(newer);
  }

  /** Takes over runs of a former owner, once, before the first step. */
  public void inherit(List<LiveRun> runs, BatchTurn turn) {
    for (LiveRun run : runs) {
      Optional<ExecutorState> executor = book.find(run.executor());
      if (executor.isPresent()) {
        adopt(executor.get(), run, turn);
      } else {
        orphans.add(run);
      }
    }
    pacer.inherited(runs, run -> book.find(run.executor()), turn);
  }

  private void adopt(ExecutorState executor, LiveRun run, BatchTurn turn) {
    executor.add(run);
    executor.lease().mayLastUntil(turn.nowNanos() + inheritedLeaseNanos);
    if (run.stage() == Stage.STOPPING) {
      // Its executor was not listed when the stop was decided.
      orders.stop(executor, run, turn);
    }
  }

  /**
   * Takes in an entry of the list.
   *
   * @return whether it tells anything new
   */
  public boolean seen(ExecutorProfile profile, BatchTurn turn) {
    Optional<ExecutorState> found = book.find(profile.id());
    if (found.isEmpty()) {
      ExecutorState executor = new ExecutorState(profile, orders.mark());
      lost.listed(executor);
      book.add(executor);
      orphans.take(profile.id()).forEach(run -> adopt(executor, run, turn));
      return true;
    }
    if (profile.incarnation().before(found.get().incarnation())) {
      return false;
    }
    ExecutorState executor = restarts.described(found.get(), profile.incarnation(), turn);
    boolean same = executor.listed() && executor.profile().equals(profile);
    boolean wasLeaving = executor.profile().leaving();
    executor.describe(profile);
    if (profile.leaving() && !wasLeaving) {
      turn.note(BatchLogEvent.EXECUTOR_LEAVING, executor.incarnation(), executor.runs().size());
      listener.leaving(executor, turn);
    }
    return !same;
  }

  /** Takes in that an executor is no longer listed. */
  public void unlisted(ExecutorId id) {
    book.find(id).ifPresent(ExecutorState::unlisted);
  }

  /**
   * Sends what is due: to the executors that were heard of since the last step at once, to all
   * others in intervals, since a look at each of a large fleet costs more than most events.
   */
  public void step(BatchTurn turn) {
    if (turn.nowNanos() - nextRoundAt < 0) {
      List.copyOf(heardOf).forEach(executor -> look(executor, turn));
      heardOf.clear();
      return;
    }
    nextRoundAt = turn.nowNanos() + ROUND_NANOS;
    heardOf.clear();
    book.snapshot().forEach(executor -> look(executor, turn));
    polls.contact(turn);
    orphans
        .takeLost(turn.nowNanos())
        .forEach(
            run ->
                reports.loseWithExecutor(
                    run,
                    CrashEvidence.DOUBTFUL,
                    "its executor is not listed and its lease has expired",
                    turn));
  }

  private void look(ExecutorState executor, BatchTurn turn) {
    polls.missOverdue(executor, OVERDUE_NANOS, turn);
    settleSilence(executor, turn);
    repeatOrders(executor, turn);
    polls.poll(executor, turn);
  }

  private void settleSilence(ExecutorState executor, BatchTurn turn) {
    boolean silent = executor.missedPolls() > 0;
    if (silent && turn.nowNanos() - executor.lease().untilNanos() > 0) {
      lost.loseAll(executor, Loss.SILENT, "silent until its lease had expired", turn);
    }
    boolean mayRun = !executor.runs().isEmpty() || (executor.runsUnknown() && !silent);
    boolean idle = !mayRun && executor.poll().isEmpty();
    boolean acknowledges = executor.ends().owes() && !silent;
    // It may be listed again in a moment, and then lists ends that are on their way to the store.
    if (!executor.listed() && idle && !acknowledges && !executor.ends().unstored()) {
      turn.note(BatchLogEvent.EXECUTOR_FORGOTTEN, executor.incarnation());
      forget(executor, turn);
    }
  }

  private void forget(ExecutorState executor, BatchTurn turn) {
    book.remove(executor);
    heardOf.remove(executor);
    pacer.forget(executor);
    turn.add(new BatchCommand.ForgetExecutor(executor.profile().id()));
  }

  private void repeatOrders(ExecutorState executor, BatchTurn turn) {
    for (LiveRun run : List.copyOf(executor.runs())) {
      boolean overdue = turn.nowNanos() - run.orderedAt() > OVERDUE_NANOS;
      if (run.stage() == Stage.STARTING && executor.known() && overdue) {
        starts.ended(executor, run, new OrderOutcome.Unanswered("no outcome came"), turn);
        continue;
      }
      boolean stopOwed = run.stage() == Stage.STOPPING && !run.stopTaken();
      if (stopOwed && turn.nowNanos() - run.orderedAt() > STOP_REPEAT_NANOS) {
        orders.stop(executor, run, turn);
      }
    }
  }

  /**
   * Orders the start of a run whose placement is stored. Storing takes seconds if the store is
   * slow; where the executor has less room by now, or is about to leave, another place is looked
   * for.
   */
  public void start(LiveRun run, BatchTurn turn) {
    Optional<ExecutorState> executor = book.find(run.executor());
    if (executor.isEmpty() || !executor.get().known()) {
      return;
    }
    boolean leaving = executor.get().profile().leaving();
    if (leaving || executor.get().overbooked()) {
      executor.get().remove(run);
      reports.lose(run, leaving ? "its executor leaves" : "its executor has less room now", turn);
      return;
    }
    run.enter(Stage.STARTING, turn.nowNanos());
    orders.start(executor.get(), run, turn);
  }

  /** Orders the end of a run; one that was not started yet is dropped at once. */
  public void stop(LiveRun run, String cause, BatchTurn turn) {
    if (run.stage() == Stage.STOPPING) {
      return;
    }
    Optional<ExecutorState> executor = book.find(run.executor());
    if (executor.flatMap(state -> state.run(run.run())).isEmpty() && !orphans.contains(run)) {
      return;
    }
    if (run.stage() == Stage.PLACED) {
      executor.ifPresent(state -> state.remove(run));
      listener.lost(run, cause, turn);
      return;
    }
    turn.note(BatchLogEvent.RUN_STOPPING, run.run(), run.incarnation(), cause);
    run.enter(Stage.STOPPING, turn.nowNanos());
    executor.ifPresent(state -> orders.stop(state, run, turn));
  }

  /**
   * Takes in what became of an order.
   *
   * @return whether the executor can be used from now on and could not before
   */
  public boolean ended(ExecutorId id, long number, OrderOutcome outcome, BatchTurn turn) {
    if (!orders.ofThisEpoch(number)) {
      return false;
    }
    if (outcome instanceof OrderOutcome.NotSent) {
      orders.notSent(number);
    }
    Optional<LiveRun> run = orders.takeRun(number);
    polls.orderEnded(number, outcome, turn);
    Optional<ExecutorState> found = book.find(id);
    if (found.isEmpty()) {
      return false;
    }
    ExecutorState executor = found.get();
    if (number <= executor.mark().lastNumber()) {
      // It was meant for a former life; the first answer of this one settles what became of it.
      return false;
    }
    heardOf.add(executor);
    if (outcome instanceof OrderOutcome.OtherIncarnation) {
      turn.note(
          BatchLogEvent.EXECUTOR_GONE,
          executor.incarnation(),
          "another incarnation answered",
          executor.runs().size());
      run.filter(live -> live.stage() == Stage.STARTING && !live.startUncertain())
          .ifPresent(LiveRun::startNeverArrived);
      lost.loseAll(executor, Loss.RESTARTED, "its executor was restarted", turn);
      forget(executor, turn);
      lost.crashed(executor.profile(), turn);
      return false;
    }
    if (outcome instanceof OrderOutcome.Rejected(Rejection rejection)
        && rejection == Rejection.FENCED) {
      listener.fenced(turn);
      return false;
    }
    if (executor.poll().filter(poll -> poll.number() == number).isPresent()) {
      boolean usable = executor.usable(turn.nowNanos());
      pollEnded(executor, outcome, turn);
      return !usable && executor.usable(turn.nowNanos());
    }
    // A run that ended or was given up meanwhile holds no capacity any more.
    run.filter(live -> executor.run(live.run()).isPresent())
        .ifPresent(live -> orderEnded(executor, live, outcome, turn));
    return false;
  }

  private void orderEnded(
      ExecutorState executor, LiveRun run, OrderOutcome outcome, BatchTurn turn) {
    if (outcome instanceof OrderOutcome.Done(long clock)) {
      executor.lease().read(clock, turn.nowNanos());
    }
    switch (run.stage()) {
      case STARTING -> starts.ended(executor, run, outcome, turn);
      case STOPPING -> stopEnded(run, outcome, turn);
      case PLACED, RUNNING, INHERITED -> {}
    }
  }

  private static void stopEnded(LiveRun run, OrderOutcome outcome, BatchTurn turn) {
    long millis = Duration.ofNanos(turn.nowNanos() - run.stageSince()).toMillis();
    turn.note(
        BatchLogEvent.STOP_ORDER_ENDED,
        run.run(),
        run.incarnation(),
        run.orders(),
        outcome,
        millis);
    if (outcome instanceof OrderOutcome.Done) {
      run.stopTaken(turn.nowNanos());
    }
  }

  private void pollEnded(ExecutorState executor, OrderOutcome outcome, BatchTurn turn) {
    if (outcome instanceof OrderOutcome.Polled polled) {
      if (restarts.answered(executor, polled.bornMillis(), turn)) {
        heardOf.remove(executor);
        return;
      }
      lost.loseUnlisted(executor, reports.take(executor, polled, turn), turn);
      return;
    }
    polls.missed(executor, outcome, turn);
  }
}
