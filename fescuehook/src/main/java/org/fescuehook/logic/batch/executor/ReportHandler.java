package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.executor.OrderOutcome.ActiveRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.EndedRun;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.model.batch.TaskRun;

/** Reads what executors report of their runs: which are at work, and which have ended. */
final class ReportHandler {

  /**
   * Time after which a confirmed stop that was not carried out is ordered again; stops take 0.2 s.
   */
  private static final long LONGEST_STOP_NANOS = Duration.ofMillis(500).toNanos();

  private final OrderSender orders;
  private final Throttler pacer;
  private final RunListener listener;
  private final Duration longestLease;

  ReportHandler(OrderSender orders, Throttler pacer, RunListener listener, Duration longestLease) {
    this.orders = orders;
    this.pacer = pacer;
    this.listener = listener;
    this.longestLease = longestLease;
  }

  /** Tells that a run that is no longer booked on its executor is gone. */
  void lose(LiveRun run, String cause, BatchTurn turn) {
    turn.note(BatchLogEvent.RUN_LOST, run.run(), run.incarnation(), cause);
    listener.lost(run, cause, turn);
  }

  /** Tells that a run is gone with its executor. */
  void loseWithExecutor(LiveRun run, CrashEvidence evidence, String cause, BatchTurn turn) {
    turn.note(BatchLogEvent.RUN_LOST, run.run(), run.incarnation(), cause);
    listener.lostWithExecutor(run, evidence, turn);
  }

  /**
   * Takes in the answer of the poll under way.
   *
   * @return runs that are booked there, and that it would list if they were alive
   */
  List<LiveRun> take(ExecutorState executor, OrderOutcome.Polled answer, BatchTurn turn) {
    long sentAt = executor.poll().orElseThrow().sentAt();
    boolean first = !executor.known();
    if (first || executor.missedPolls() > 0) {
      turn.note(BatchLogEvent.EXECUTOR_REACHED, executor.incarnation(), answer.active().size());
    }
    if (first) {
      executor.lease().shutFormerOwnersOut(longestLease, turn.nowNanos());
    }
    executor.pollAnswered(turn.nowNanos());
    executor.lease().read(answer.clockMillis(), turn.nowNanos());
    takeEnds(executor, answer.ended(), turn);
    Set<TaskRun> active = new HashSet<>();
    executor.unknownRunsSeen(false);
    for (ActiveRun run : answer.active()) {
      active.add(run.run());
      takeActive(executor, run, sentAt, turn);
    }
    pacer.look(executor, answer, turn);
    return executor.runs().stream()
        .filter(run -> !active.contains(run.run()))
        // What was ordered before the first answer is there by then, or is fenced off for good.
        .filter(run -> first ? run.stage() != Stage.PLACED : run.mustBeListed(sentAt))
        .toList();
  }

  private void takeEnds(ExecutorState executor, List<EndedRun> ends, BatchTurn turn) {
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
        listener.strayEnded(end, stored, turn);
        continue;
      }
      run.get().foundOn(executor.incarnation());
      executor.remove(run.get());
      ExecutorEvaluator.ended(executor, run.get(), end.end(), turn);
      listener.ended(run.get(), end, stored, turn);
    }
    stored.release();
  }

  private void takeActive(ExecutorState executor, ActiveRun active, long sentAt, BatchTurn turn) {
    Optional<LiveRun> found = executor.run(active.run());
    if (found.isEmpty()) {
      executor.unknownRunsSeen(true);
      turn.note(BatchLogEvent.RUN_UNKNOWN, active.run(), executor.incarnation());
      orders.stopUnknown(executor, active.run(), turn);
      return;
    }
    LiveRun run = found.get();
    run.foundOn(executor.incarnation());
    run.progressed(active.percent(), turn.nowNanos());
    run.stillListed(sentAt, LONGEST_STOP_NANOS);
    listener.saved(run, active.checkpoint());
    boolean inherited = run.stage() == Stage.INHERITED;
    if (inherited || run.stage() == Stage.STARTING) {
      run.enter(Stage.RUNNING, turn.nowNanos());
    }
    if (inherited) {
      listener.foundRunning(run, turn);
    }
    if (ExecutorEvaluator.standsStill(executor, run, turn.nowNanos())) {
      listener.stoodStill(run, turn);
    }
  }
}
