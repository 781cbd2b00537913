package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.model.fleet.Incarnation;

/**
 * Begins the next life of executors that have started again under their ids. Nothing that was
 * counted in the former life is valid in it. What was ordered before the restart was known may have
 * reached either life, so all these runs stay booked until the new one has answered a poll that
 * fences these orders off: then it runs what it lists, and nothing else will ever begin there.
 */
final class RestartHandler {

  private final ExecutorRegistry book;
  private final OrderSender orders;
  private final ExecutorPoller polls;
  private final Throttler pacer;
  private final ReportHandler reports;
  private final Duration longestLease;

  /**
   * Creates a duty of an epoch.
   *
   * @param longestLease the longest lease that an executor grants
   */
  RestartHandler(
      ExecutorRegistry book,
      OrderSender orders,
      ExecutorPoller polls,
      Throttler pacer,
      ReportHandler reports,
      Duration longestLease) {
    this.book = book;
    this.orders = orders;
    this.polls = polls;
    this.pacer = pacer;
    this.reports = reports;
    this.longestLease = longestLease;
  }

  /**
   * Takes in which life of an executor an entry describes.
   *
   * @return the state of the newest life; what it knows is older than the entry or the same
   */
  ExecutorState described(ExecutorState executor, Incarnation described, BatchTurn turn) {
    if (executor.incarnation().before(described)) {
      return succeed(executor, described, "entry", turn);
    }
    executor.datedBy(described.bornMillis());
    return executor;
  }

  /**
   * Takes in which life of an executor has answered a poll.
   *
   * @return whether it is another one than the poll was meant for
   */
  boolean answered(ExecutorState executor, OptionalLong bornMillis, BatchTurn turn) {
    Incarnation answering = new Incarnation(executor.incarnation().id(), bornMillis);
    boolean toldNothing = executor.known() && executor.incarnation().bornMillis().isEmpty();
    boolean other = answering.differsFrom(executor.incarnation());
    // The clocks of two lives may differ, so the one that answers counts, whichever is greater.
    if (other || (toldNothing && bornMillis.isPresent())) {
      succeed(executor, answering, "answer", turn);
      return true;
    }
    executor.datedBy(bornMillis);
    return false;
  }

  private ExecutorState succeed(
      ExecutorState former, Incarnation next, String source, BatchTurn turn) {
    turn.note(
        BatchLogEvent.EXECUTOR_RESTARTED, former.incarnation(), next, source, former.runs().size());
    turn.count("fescuehook.batch.executors.restarted", "told-by", source);
    ExecutorState executor =
        former.successor(next, endOf(former, next, turn), orders.markOfNextLife());
    executor.restarted(turn.nowNanos());
    executor.lease().mayLastFor(longestLease, turn.nowNanos());
    List<LiveRun> runs = List.copyOf(former.runs());
    runs.stream().filter(run -> run.stage() != Stage.PLACED).forEach(executor::add);
    book.add(executor);
    polls.forget(former);
    pacer.forget(former);
    turn.add(new BatchCommand.ForgetExecutor(next.id()));
    runs.stream()
        .filter(run -> run.stage() == Stage.PLACED)
        .forEach(run -> reports.lose(run, "its executor was restarted before its start", turn));
    // Until it has been asked, an order to the former life may be carried out there.
    polls.contact(executor, turn);
    return executor;
  }

  /**
   * Returns what is known of a life that is over. It ended before the next one began; the clocks of
   * the day may be wrong, but it was over when it no longer answered, and not before its last
   * answer.
   */
  private static PreviousIncarnation endOf(ExecutorState former, Incarnation next, BatchTurn turn) {
    Optional<PreviousIncarnation> unsettled = former.formerLife();
    if (unsettled.isPresent() && !former.known()) {
      return unsettled.get();
    }
    long latest = former.silentSince().orElse(turn.nowNanos());
    long age = Math.max(0, turn.wallMillis() - next.bornMillis().orElse(turn.wallMillis()));
    long began = turn.nowNanos() - Duration.ofMillis(age).toNanos();
    long earliest = former.answeredAt().orElse(latest);
    return new PreviousIncarnation(
        former.incarnation(),
        Math.min(latest, Math.max(earliest, began)),
        former.profile().leaving(),
        former.restartedLately(turn.nowNanos()));
  }
}
