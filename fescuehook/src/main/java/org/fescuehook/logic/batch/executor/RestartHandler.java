package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.Incarnation;

/**
 * Replaces the state of executors that have restarted under their ids by that of the next
 * incarnation. Nothing that was counted for the previous incarnation is valid for it. Orders that
 * were sent before the restart was known may have reached either incarnation. All their runs
 * therefore keep their capacity until the new incarnation has answered a poll whose fencing token
 * makes it reject these orders: from then on, only the runs that it lists are alive there.
 */
final class RestartHandler {

  private final ExecutorRegistry registry;
  private final OrderSender orders;
  private final ExecutorPoller poller;
  private final Throttler throttler;
  private final ReportHandler reportHandler;
  private final Duration longestLease;

  /**
   * Creates the handler of an epoch.
   *
   * @param longestLease the longest lease that an executor grants
   */
  RestartHandler(
      ExecutorRegistry registry,
      OrderSender orders,
      ExecutorPoller poller,
      Throttler throttler,
      ReportHandler reportHandler,
      Duration longestLease) {
    this.registry = registry;
    this.orders = orders;
    this.poller = poller;
    this.throttler = throttler;
    this.reportHandler = reportHandler;
    this.longestLease = longestLease;
  }

  /**
   * Handles the incarnation that an entry of the executor list names, which may have another
   * address than the one before.
   *
   * @return the state of that incarnation
   */
  ExecutorState entryListed(ExecutorState executor, ExecutorProfile listed, BatchContext context) {
    if (executor.incarnation().differsFrom(listed.incarnation())) {
      return replace(executor, listed.incarnation(), listed, "entry", context);
    }
    executor.datedBy(listed.incarnation().bornMillis());
    return executor;
  }

  /**
   * Handles the incarnation that has answered a poll.
   *
   * @return whether it is another one than the poll was meant for
   */
  boolean pollAnswered(ExecutorState executor, OptionalLong bornMillis, BatchContext context) {
    Incarnation answering = new Incarnation(executor.incarnation().id(), bornMillis);
    boolean undated = executor.reached() && executor.incarnation().bornMillis().isEmpty();
    boolean other = answering.differsFrom(executor.incarnation());
    // The clocks of two incarnations may differ, so the one that answers counts, whichever started
    // later by its clock.
    if (other || (undated && bornMillis.isPresent())) {
      reportHandler.observed(new ExecutorSign.Replaced(executor.incarnation()), context);
      replace(executor, answering, executor.profile(), "answer", context);
      return true;
    }
    executor.datedBy(bornMillis);
    return false;
  }

  /**
   * Replaces the state of the previous incarnation and polls the next one.
   *
   * @param profile newest profile under the id, which names the address of the poll
   */
  private ExecutorState replace(
      ExecutorState previous,
      Incarnation next,
      ExecutorProfile profile,
      String source,
      BatchContext context) {
    context.note(
        BatchLogEvent.EXECUTOR_RESTARTED,
        previous.incarnation(),
        next,
        source,
        previous.runs().size());
    context.count("fescuehook.batch.executors.restarted", "told-by", source);
    ExecutorState executor =
        previous.nextIncarnation(
            next, describeEnd(previous, next, context), orders.baselineOfNextIncarnation());
    executor.updateProfile(profile);
    executor.restarted(context.nowNanos());
    reportHandler.crashed(previous, context);
    executor.lease().mayLastFor(longestLease, context.nowNanos());
    List<LiveRun> runs = List.copyOf(previous.runs());
    runs.stream().filter(run -> run.stage() != Stage.PLACED).forEach(executor::add);
    registry.add(executor);
    poller.forget(previous);
    throttler.forget(previous);
    context.add(new BatchCommand.ForgetExecutor(next.id()));
    runs.stream()
        .filter(run -> run.stage() == Stage.PLACED)
        .forEach(
            run ->
                reportHandler.reportLost(
                    run, "its executor was restarted before its start", context));
    // Until it has been polled, it may still carry out an order meant for the previous
    // incarnation.
    poller.pollUnresponsive(executor, context);
    return executor;
  }

  /**
   * Describes how the previous incarnation ended. It ended before the next one started. That time
   * is only an estimate, since clocks may be wrong, so it is limited to the time between its last
   * answer and the first poll that was not answered.
   */
  private static PreviousIncarnation describeEnd(
      ExecutorState previous, Incarnation next, BatchContext context) {
    Optional<PreviousIncarnation> earlier = previous.previousIncarnation();
    if (earlier.isPresent() && !previous.reached()) {
      return earlier.get();
    }
    long latest = previous.silentSince().orElse(context.nowNanos());
    long nextAgeMillis =
        Math.max(0, context.wallMillis() - next.bornMillis().orElse(context.wallMillis()));
    long nextStartedAt = context.nowNanos() - Duration.ofMillis(nextAgeMillis).toNanos();
    long earliest = previous.answeredAt().orElse(latest);
    return new PreviousIncarnation(
        previous.incarnation(),
        Math.min(latest, Math.max(earliest, nextStartedAt)),
        previous.profile().leaving(),
        previous.recentlyRestarted(context.nowNanos()));
  }
}
