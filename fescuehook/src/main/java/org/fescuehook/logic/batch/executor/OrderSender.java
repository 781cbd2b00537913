package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchCommand.ExecutorOrder;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.EpochNumbers;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.model.batch.TaskRun;

/**
 * Sends the orders of an epoch, numbers them and keeps track of the run that each of them is about.
 */
final class OrderSender {

  private final long epoch;
  private final FencingTokens fenceTokens;
  private final Duration lease;
  private final AnswerStatistics answers;
  private final Map<Long, RunOrder> runOrders = new HashMap<>();
  private long lastNumber;

  /**
   * An order about a run.
   *
   * @param stage the stage of the run for which the order was sent
   * @param sentAt monotonic time
   */
  private record RunOrder(LiveRun run, Stage stage, long sentAt) {}

  /**
   * Creates a sender.
   *
   * @param lease length of the leases that orders grant
   */
  OrderSender(long epoch, Duration lease, AnswerStatistics answers) {
    this.epoch = epoch;
    this.fenceTokens = new FencingTokens(epoch);
    this.lease = lease;
    this.answers = answers;
    this.lastNumber = EpochNumbers.before(epoch);
  }

  /**
   * Polls an executor. If it answers, the poll renews its lease. The lease is not extended for an
   * executor that is silent, or whose runs are all to be stopped or unknown to this owner, so that
   * these runs are certain to end.
   *
   * @return the number of the order
   */
  long poll(ExecutorState executor, BatchContext context) {
    boolean responsive = executor.responsive();
    OptionalLong leaseUntil = OptionalLong.empty();
    if (executor.presumedAlive()
        && executor.runs().stream().anyMatch(run -> run.stage() != Stage.STOPPING)) {
      leaseUntil = OptionalLong.of(executor.lease().extend(lease, context.nowNanos()));
    } else if (executor.lease().grantedUntilMillis() > 0) {
      leaseUntil = OptionalLong.of(executor.lease().grantedUntilMillis());
    }
    boolean waits = responsive && (!executor.runs().isEmpty() || executor.hasUnknownRuns());
    long maxWait = waits ? answers.pollWait().toMillis() : 0;
    // After an unanswered poll the executor may have restarted, and would discard run ends that
    // nobody has read.
    long acknowledged = responsive ? executor.runEnds().numberToAcknowledge() : 0;
    ExecutorOrder poll = new ExecutorOrder.Poll(acknowledged, leaseUntil, maxWait);
    Duration timeout = Duration.ofMillis(maxWait).plus(answers.pollMargin());
    long number = send(executor, poll, timeout, context);
    executor.pollSent(number, acknowledged, context.nowNanos());
    return number;
  }

  /** Orders an executor to start a run. */
  void start(ExecutorState executor, LiveRun run, BatchContext context) {
    run.ordered(context.nowNanos());
    long leaseUntil = executor.lease().extend(lease, context.nowNanos());
    run.startSent(leaseUntil);
    String spec = run.step().job().job().submission().spec();
    ExecutorOrder order =
        new ExecutorOrder.Start(run.run(), spec, run.checkpoint(), run.ticket(), leaseUntil);
    sendForRun(executor, run, order, context);
  }

  /** Orders an executor to stop a run. */
  void stop(ExecutorState executor, LiveRun run, BatchContext context) {
    run.ordered(context.nowNanos());
    ExecutorOrder order = new ExecutorOrder.Stop(run.run());
    sendForRun(executor, run, order, context);
  }

  /** Orders an executor to throttle a run to a percentage of its speed. */
  void throttle(ExecutorState executor, LiveRun run, int percent, BatchContext context) {
    run.markThrottled();
    send(executor, new ExecutorOrder.Pace(run.run(), percent), answers.orderTimeout(), context);
  }

  /** Orders an executor to stop a run that this owner does not know. */
  void stopUnknown(ExecutorState executor, TaskRun run, BatchContext context) {
    send(executor, new ExecutorOrder.Stop(run), answers.orderTimeout(), context);
  }

  /**
   * Tells whether an order was sent in this epoch; outcomes of orders of earlier epochs are
   * ignored.
   */
  boolean ofThisEpoch(long number) {
    return number > EpochNumbers.before(epoch);
  }

  /**
   * Records the outcome of an order that may show that a run has never begun: its start is certain
   * not to be carried out, no earlier start may have been, and it has been stopped meanwhile.
   *
   * @return the run that has never begun
   */
  Optional<LiveRun> neverBegun(long number, OrderOutcome outcome) {
    Optional<LiveRun> neverBegun =
        Optional.ofNullable(runOrders.get(number))
            .filter(order -> order.stage() == Stage.STARTING && outcome.neverCarriedOut())
            .map(RunOrder::run)
            .filter(run -> run.stage() == Stage.STOPPING && !run.mayHaveBegun());
    neverBegun.ifPresent(LiveRun::startNeverArrived);
    return neverBegun;
  }

  /**
   * Returns the run that an order was about and forgets the order; absent if the run is in another
   * stage by now, since the answer to a start says nothing about the stop that was sent after it.
   */
  Optional<LiveRun> takeRun(long number, OrderOutcome outcome, BatchContext context) {
    Optional<RunOrder> ended = Optional.ofNullable(runOrders.remove(number));
    if (outcome.answered()) {
      ended.ifPresent(order -> answers.orderAnswered(context.nowNanos() - order.sentAt()));
    }
    return ended.filter(order -> order.run().stage() == order.stage()).map(RunOrder::run);
  }

  /** Returns the baseline for an executor that becomes known now. */
  OrderBaseline baseline() {
    return new OrderBaseline(lastNumber, fenceTokens.newest());
  }

  /**
   * Returns the baseline for the next incarnation of an executor; its fencing token lets that
   * incarnation reject all orders meant for the previous one.
   */
  OrderBaseline baselineOfNextIncarnation() {
    fenceTokens.increase();
    return baseline();
  }

  private void sendForRun(
      ExecutorState executor, LiveRun run, ExecutorOrder order, BatchContext context) {
    long number = send(executor, order, answers.orderTimeout(), context);
    runOrders.put(number, new RunOrder(run, run.stage(), context.nowNanos()));
  }

  private long send(
      ExecutorState executor, ExecutorOrder order, Duration timeout, BatchContext context) {
    lastNumber++;
    long fenceToken = executor.baseline().fenceToken();
    context.add(new BatchCommand.Order(executor.profile(), lastNumber, fenceToken, order, timeout));
    return lastNumber;
  }
}
