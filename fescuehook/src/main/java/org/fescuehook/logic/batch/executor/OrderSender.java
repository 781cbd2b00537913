package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchCommand.ExecutorOrder;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.EpochNumbers;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.model.batch.TaskRun;

/** Numbers the orders of an epoch and remembers which run each of them is about. */
final class OrderSender {

  /** Longest wait of a poll for an end; renews a lease of about 6 s five times over. */
  private static final Duration POLL_WAIT = Duration.ofMillis(1000);

  private final long epoch;
  private final FencingTokens fences;
  private final Duration lease;
  private final Map<Long, RunOrder> ordered = new HashMap<>();
  private long lastNumber;

  /**
   * An order about a run.
   *
   * @param stage the stage of the run that it was sent for
   */
  private record RunOrder(LiveRun run, Stage stage) {}

  /**
   * Creates a sender.
   *
   * @param lease length of the leases given
   */
  OrderSender(long epoch, Duration lease) {
    this.epoch = epoch;
    this.fences = new FencingTokens(epoch);
    this.lease = lease;
    this.lastNumber = EpochNumbers.before(epoch);
  }

  /**
   * Polls an executor. One that answers has its lease renewed; for one that is silent, or that runs
   * only what is to be stopped or what this owner does not know, the lease is not extended, so that
   * its runs are known to end.
   *
   * @return the number of the order
   */
  long poll(ExecutorState executor, BatchTurn turn) {
    boolean calm = executor.calm();
    OptionalLong leaseUntil = OptionalLong.empty();
    if (calm && executor.runs().stream().anyMatch(run -> run.stage() != Stage.STOPPING)) {
      leaseUntil = OptionalLong.of(executor.lease().extend(lease, turn.nowNanos()));
    } else if (executor.lease().untilMillis() > 0) {
      leaseUntil = OptionalLong.of(executor.lease().untilMillis());
    }
    boolean waits = calm && (!executor.runs().isEmpty() || executor.runsUnknown());
    long longestWait = waits ? POLL_WAIT.toMillis() : 0;
    // One that missed an answer may have started again, and would forget ends that nobody has read.
    long acknowledged = calm ? executor.ends().owed() : 0;
    ExecutorOrder poll = new ExecutorOrder.Poll(acknowledged, leaseUntil, longestWait);
    long number = send(executor, poll, turn);
    executor.pollSent(number, acknowledged, turn.nowNanos());
    return number;
  }

  /** Orders the start of a run. */
  void start(ExecutorState executor, LiveRun run, BatchTurn turn) {
    run.ordered(turn.nowNanos());
    long leaseUntil = executor.lease().extend(lease, turn.nowNanos());
    String spec = run.step().job().job().submission().spec();
    ExecutorOrder order =
        new ExecutorOrder.Start(run.run(), spec, run.checkpoint(), run.ticket(), leaseUntil);
    ordered.put(send(executor, order, turn), new RunOrder(run, run.stage()));
  }

  /** Orders the end of a run. */
  void stop(ExecutorState executor, LiveRun run, BatchTurn turn) {
    run.ordered(turn.nowNanos());
    ExecutorOrder order = new ExecutorOrder.Stop(run.run());
    ordered.put(send(executor, order, turn), new RunOrder(run, run.stage()));
  }

  /** Orders a run to work at a share of its speed. */
  void pace(ExecutorState executor, LiveRun run, int percent, BatchTurn turn) {
    run.slowedDown();
    send(executor, new ExecutorOrder.Pace(run.run(), percent), turn);
  }

  /** Orders the end of a run that the owner does not know. */
  void stopUnknown(ExecutorState executor, TaskRun run, BatchTurn turn) {
    send(executor, new ExecutorOrder.Stop(run), turn);
  }

  /** Tells whether an order was sent in this epoch; outcomes of former ones tell nothing of it. */
  boolean ofThisEpoch(long number) {
    return number > EpochNumbers.before(epoch);
  }

  /**
   * Takes in that an order was not sent. A start that was under way when its run was stopped is the
   * last one of that run, so that the run has never begun.
   */
  void notSent(long number) {
    Optional.ofNullable(ordered.get(number))
        .filter(order -> order.stage() == Stage.STARTING)
        .map(RunOrder::run)
        .filter(run -> run.stage() == Stage.STOPPING && !run.startUncertain())
        .ifPresent(LiveRun::startNeverArrived);
  }

  /**
   * Returns the run that an order was about, once; absent if the run is in another stage by now,
   * since the answer to a start says nothing of the stop that was sent after it.
   */
  Optional<LiveRun> takeRun(long number) {
    return Optional.ofNullable(ordered.remove(number))
        .filter(order -> order.run().stage() == order.stage())
        .map(RunOrder::run);
  }

  /** Returns the mark of an executor that is met now. */
  OrderBaseline mark() {
    return new OrderBaseline(lastNumber, fences.newest());
  }

  /** Returns the mark of the next life of an executor, whose orders fence all former ones off. */
  OrderBaseline markOfNextLife() {
    fences.raise();
    return mark();
  }

  private long send(ExecutorState executor, ExecutorOrder order, BatchTurn turn) {
    lastNumber++;
    turn.add(
        new BatchCommand.Order(executor.profile(), lastNumber, executor.mark().fence(), order));
    return lastNumber;
  }
}
