package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.OrderOutcome.ActiveRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.EndedRun;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.model.batch.TaskRun;

/** Reads what executors report of their runs: which are at work, and which have ended. */
final class ReportReader {

  /**
   * Time after which a confirmed stop that was not carried out is ordered again; stops take 0.2 s.
   */
  private static final long LONGEST_STOP_NANOS = Duration.ofMillis(500).toNanos();

  private final OrderSender orders;
  private final Pacer pacer;
  private final RunListener listener;
  private final Duration longestLease;

  ReportReader(OrderSender orders, Pacer pacer, RunListener listener, Duration longestLease) {
    this.orders = orders;
    this.pacer = pacer;
    this.listener = listener;
    this.longestLease = longestLease;
  }

  /** Tells that a run that is no longer booked on its executor is gone. */
  void lose(LiveRun run, String cause, BatchContext context) {
    context.note(BatchLogEvent.RUN_LOST, run.run(), run.incarnation(), cause);
    listener.lost(run, cause, context);
  }

  /** Tells that a run is gone with its executor. */
  void loseWithExecutor(LiveRun run, CrashEvidence evidence, String cause, BatchContext context) {
    context.note(BatchLogEvent.RUN_LOST, run.run(), run.incarnation(), cause);
    listener.lostWithExecutor(run, evidence, context);
  }

  /**
   * Takes in the answer of the poll under way.
   *
   * @return runs that are booked there, and that it would list if they were alive
   */
  List<LiveRun> take(ExecutorState executor, OrderOutcome.Polled answer, BatchContext context) {
    long sentAt = executor.poll().orElseThrow().sentAt();
    boolean first = !executor.known();
    if (first || executor.missedPolls() > 0) {
      context.note(BatchLogEvent.EXECUTOR_REACHED, executor.incarnation(), answer.active().size());
    }
    if (first) {
      executor.lease().shutFormerOwnersOut(longestLease, context.nowNanos());
    }
    executor.pollAnswered(context.nowNanos());
    executor.lease().read(answer.clockMillis(), context.nowNanos());
    takeEnds(executor, answer.ended(), context);
    Set<TaskRun> active = new HashSet<>();
    executor.unknownRunsSeen(false);
    for (ActiveRun run : answer.active()) {
      active.add(run.run());
      takeActive(executor, run, sentAt, context);
    }
    pacer.look(executor, answer, context);
    return executor.runs().stream()
        .filter(run -> !active.contains(run.run()))
        // What was ordered before the first answer is there by then, or is fenced off for good.
        .filter(run -> first ? run.stage() != Stage.PLACED : run.mustBeListed(sentAt))
        .toList();
  }

  private void takeEnds(ExecutorState executor, List<EndedRun> ends, BatchContext context) {
    List<EndedRun> fresh =
        ends.stream().filter(end -> end.number() > executor.ends().seen()).toList();
    if (fresh.isEmpty()) {
      return;
    }
    long last = fresh.getLast().number();
    executor.ends().sawUpTo(last);
    Countdown stored = new Countdown(() -> executor.ends().stored(last));
    for (EndedRun end : fresh) {
      Optional<LiveRun> run = executor.run(end.run());
      if (run.isEmpty()) {
        listener.strayEnded(end, stored, context);
        continue;
      }
      run.get().foundOn(executor.incarnation());
      executor.remove(run.get());
      ExecutorJudge.ended(executor, run.get(), end.end(), context);
      listener.ended(run.get(), end, stored, context);
    }
    stored.release();
  }

  private void takeActive(
      ExecutorState executor, ActiveRun active, long sentAt, BatchContext context) {
    Optional<LiveRun> found = executor.run(active.run());
    if (found.isEmpty()) {
      executor.unknownRunsSeen(true);
      context.note(BatchLogEvent.RUN_UNKNOWN, active.run(), executor.incarnation());
      orders.stopUnknown(executor, active.run(), context);
      return;
    }
    LiveRun run = found.get();
    run.foundOn(executor.incarnation());
    run.progressed(active.percent(), context.nowNanos());
    run.stillListed(sentAt, LONGEST_STOP_NANOS);
    listener.saved(run, active.checkpoint());
    boolean inherited = run.stage() == Stage.INHERITED;
    if (inherited || run.stage() == Stage.STARTING) {
      run.enter(Stage.RUNNING, context.nowNanos());
    }
    if (inherited) {
      listener.foundRunning(run, context);
    }
    if (ExecutorJudge.standsStill(executor, run, context.nowNanos())) {
      listener.stoodStill(run, context);
    }
  }
}
