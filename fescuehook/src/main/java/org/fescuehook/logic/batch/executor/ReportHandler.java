package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.OrderOutcome.ActiveRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.EndedRun;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.logic.batch.statistics.StartEvidence;
import org.fescuehook.model.batch.TaskRun;

/** Handles the answers to polls: which runs are alive on an executor, and which have ended. */
final class ReportHandler {

  /**
   * Time after which a stop that was confirmed but not carried out is ordered again; a stop takes
   * 0.2 s.
   */
  private static final long MAX_STOP_NANOS = Duration.ofMillis(500).toNanos();

  private final OrderSender orders;
  private final Throttler throttler;
  private final RunListener listener;
  private final Duration longestLease;
  private final SchedulingStatistics statistics;

  ReportHandler(
      OrderSender orders,
      Throttler throttler,
      RunListener listener,
      Duration longestLease,
      SchedulingStatistics statistics) {
    this.orders = orders;
    this.throttler = throttler;
    this.listener = listener;
    this.longestLease = longestLease;
    this.statistics = statistics;
  }

  /** Reports a run as lost that no longer holds capacity of its executor. */
  void reportLost(LiveRun run, String cause, BatchContext context) {
    context.note(BatchLogEvent.RUN_LOST, run.run(), run.incarnation(), cause);
    listener.lost(run, cause, context);
  }

  /** Reports a run as lost together with its executor. */
  void reportLostWithExecutor(
      LiveRun run, CrashEvidence evidence, String cause, BatchContext context) {
    context.note(BatchLogEvent.RUN_LOST, run.run(), run.incarnation(), cause);
    listener.lostWithExecutor(run, evidence, context);
  }

  /** Reports a sign of what became of an executor. */
  void observed(ExecutorSign sign, BatchContext context) {
    listener.observed(sign, context);
  }

  /** Records that an executor, or the one before it at its address, has crashed. */
  void crashed(ExecutorState executor, BatchContext context) {
    if (!executor.profile().leaving()) {
      statistics.reliability().observed(executor.incarnation(), StartEvidence.CRASHED, context);
    }
  }

  /**
   * Handles the answer to the poll in flight.
   *
   * @return runs that the owner believes to be on this executor and that it would have listed if
   *     they were alive or had ended there; none if the list of ends is cut
   */
  List<LiveRun> handle(ExecutorState executor, OrderOutcome.Polled answer, BatchContext context) {
    long sentAt = executor.poll().orElseThrow().sentAt();
    boolean first = !executor.reached();
    if (first || executor.silent()) {
      context.note(
          BatchLogEvent.EXECUTOR_REACHED,
          executor.incarnation(),
          answer.active().size(),
          executor.missedPolls(),
          silentMillis(executor, context));
    }
    if (first || executor.missedPolls() > 0) {
      observed(new ExecutorSign.Answered(executor.incarnation()), context);
    }
    if (first) {
      executor.lease().excludeFormerOwners(longestLease, context.nowNanos());
    }
    executor.pollAnswered(context.nowNanos());
    // This answer may read the clock after the lists, so only the reading before it is used.
    OptionalLong clockBefore =
        executor.lease().pollAnswered(answer.clockMillis(), context.nowNanos());
    handleEnds(executor, answer.ended(), context);
    Set<TaskRun> active = new HashSet<>();
    executor.setHasUnknownRuns(false);
    for (ActiveRun run : answer.active()) {
      active.add(run.run());
      handleActive(executor, run, sentAt, context);
    }
    throttler.evaluate(executor, answer, context);
    List<LiveRun> unlisted =
        executor.runs().stream()
            .filter(run -> !active.contains(run.run()))
            // Orders sent before the first answer have arrived by then, or are rejected for good by
            // their fencing token.
            .filter(
                run -> first ? run.stage() != Stage.PLACED : run.mustBeListed(sentAt, clockBefore))
            .toList();
    boolean mayHaveEnded = answer.moreEnded() && !unlisted.isEmpty();
    boolean noted = executor.runEnds().hidden();
    executor.runEnds().setHidden(mayHaveEnded);
    if (mayHaveEnded && !noted) {
      noteUnlisted(BatchLogEvent.ENDS_CUT, executor, answer, unlisted.size(), context);
    }
    if (mayHaveEnded || unlisted.isEmpty()) {
      return List.of();
    }
    noteUnlisted(BatchLogEvent.RUNS_UNLISTED, executor, answer, unlisted.size(), context);
    return unlisted;
  }

  private static long silentMillis(ExecutorState executor, BatchContext context) {
    long since = executor.silentSince().orElse(context.nowNanos());
    return Duration.ofNanos(context.nowNanos() - since).toMillis();
  }

  private static void noteUnlisted(
      BatchLogEvent event,
      ExecutorState executor,
      OrderOutcome.Polled answer,
      int runs,
      BatchContext context) {
    context.note(
        event,
        executor.incarnation(),
        runs,
        answer.active().size(),
        answer.ended().size(),
        executor.runEnds().lastRead());
  }

  private void handleEnds(ExecutorState executor, List<EndedRun> ends, BatchContext context) {
    List<EndedRun> newEnds =
        ends.stream().filter(end -> end.number() > executor.runEnds().lastRead()).toList();
    if (newEnds.isEmpty()) {
      return;
    }
    long last = newEnds.getLast().number();
    executor.runEnds().readUpTo(last);
    Countdown stored = new Countdown(() -> executor.runEnds().markStored(last));
    for (EndedRun end : newEnds) {
      Optional<LiveRun> run = executor.run(end.run());
      if (run.isEmpty()) {
        listener.strayEnded(end, stored, context);
        continue;
      }
      run.get().foundOn(executor.incarnation());
      executor.remove(run.get());
      ExecutorEvaluator.ended(executor, run.get(), end.end(), statistics, context);
      statistics.speeds().ended(executor, run.get(), end.end(), context);
      listener.ended(run.get(), end, stored, context);
    }
    stored.release();
  }

  private void handleActive(
      ExecutorState executor, ActiveRun active, long sentAt, BatchContext context) {
    Optional<LiveRun> found = executor.run(active.run());
    if (found.isEmpty()) {
      executor.setHasUnknownRuns(true);
      context.note(BatchLogEvent.RUN_UNKNOWN, active.run(), executor.incarnation());
      orders.stopUnknown(executor, active.run(), context);
      return;
    }
    LiveRun run = found.get();
    run.foundOn(executor.incarnation());
    run.progressed(active.percent(), context.nowNanos());
    run.stillListed(sentAt, MAX_STOP_NANOS);
    run.saved(active.checkpoint(), context.nowNanos());
    listener.checkpointSaved(run, active.checkpoint());
    boolean inherited = run.stage() == Stage.INHERITED;
    if (inherited || run.stage() == Stage.STARTING) {
      run.enter(Stage.RUNNING, context.nowNanos());
      PlacementRuleCheck.check(executor, run, context);
    }
    if (inherited) {
      listener.foundRunning(run, context);
    }
    statistics.speeds().progressed(executor, run, context);
    boolean stalled = ExecutorEvaluator.shouldMove(executor, run, statistics, context.nowNanos());
    if (stalled && run.percent() == 0) {
      statistics.reliability().observed(executor.incarnation(), StartEvidence.STALLED, context);
    }
    if (stalled || SpeedMoves.pays(executor, run, statistics, context)) {
      listener.runStalled(run, context);
    }
  }
}
