package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;

/**
 * Estimates which share of the answers of executors is lost on the way and how long the others
 * take, and derives from that how long to wait for an answer and what a missing one means.
 *
 * <p>An answer that comes after unanswered orders shows that these were lost. Orders to an executor
 * that stays silent show nothing, since it may be gone. While hardly any answer is lost, a missing
 * one is taken for a sign that its executor is gone. The more are lost, the more of them in a row
 * it takes, and the sooner an order is sent again: answers that come at all come quickly. As polls
 * are repeated sooner as well, an executor that is gone is noticed about as soon as otherwise.
 */
final class AnswerStatistics {

  /** Weight of a new answer; half a second of a fleet of 32 executors with runs. */
  private static final double WEIGHT = 1.0 / 16;

  /** Time without any answer, as in an idle fleet, after which the share says nothing any more. */
  private static final long FORGOTTEN_AFTER_NANOS = Duration.ofSeconds(5).toNanos();

  /** Unanswered orders in a row after which an executor was rather cut off for a while. */
  private static final int MAX_LOST_IN_ROW = 12;

  /**
   * Unanswered orders in a row, to whichever executors, after which answers may have become slower
   * than the timeout; none of them would show that.
   */
  private static final int MAX_UNANSWERED_IN_ROW = 12;

  /** Shares from and up to which answers count as lost. */
  private static final double LOSSY_SHARE = 0.15;

  private static final double LOSSLESS_SHARE = 0.05;

  private static final int PERCENT = 100;

  /** An executor counts as silent once its polls would all be lost in one of 50 cases. */
  private static final double SILENT_PROBABILITY = 0.02;

  /** Most unanswered polls for which an executor is not taken for silent. */
  private static final int MAX_TOLERATED_POLLS = 8;

  /** Longest time for which it is not, however slowly polls are sent. */
  private static final long MAX_TOLERATED_NANOS = Duration.ofMillis(1200).toNanos();

  /** Start orders of one run, at least, before it is given up. */
  private static final int MIN_START_ORDERS = 3;

  /** Timeout for the answer to an order. */
  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(600);

  /** The same while answers are lost; well above the time that answers take on any VM. */
  private static final Duration MIN_ORDER_TIMEOUT = Duration.ofMillis(150);

  /**
   * Time before the members of a gang end for want of another one, in which a start of that one is
   * not ordered again: it has to arrive, and the owner to learn of it.
   */
  private static final Duration GANG_MARGIN = Duration.ofMillis(400);

  /**
   * Time added to the wait that a poll requests to get its timeout. It covers a hundred network
   * round trips and a pause of this VM. If an answer is lost, runs that ended on the executor go
   * unnoticed until the timeout.
   */
  private static final Duration POLL_TIMEOUT_MARGIN = Duration.ofMillis(350);

  /**
   * Longest time that an executor holds a poll while no run ends; renews a lease of about 6 s five
   * times over.
   */
  private static final Duration MAX_POLL_WAIT = Duration.ofMillis(1000);

  /** The same while answers are lost, since nothing is known until the next poll is answered. */
  private static final Duration LOSSY_POLL_WAIT = Duration.ofMillis(250);

  /** Pause between polls of a silent executor, which has probably gone. */
  private static final Duration RETRY_PAUSE = Duration.ofMillis(150);

  /** The same for an executor without runs, where only new work would wait. */
  private static final Duration IDLE_RETRY_PAUSE = Duration.ofMillis(500);

  private final Duration gangTimeout;
  private final ResponseTimeEstimator orderTimes = new ResponseTimeEstimator(MIN_ORDER_TIMEOUT);
  private OptionalLong lastAnswerAt = OptionalLong.empty();
  private double lostShare;
  private boolean lossy;
  private int unansweredInRow;

  /**
   * Creates statistics without answers.
   *
   * @param gangTimeout time that a member of a gang waits on its executor for the others
   */
  AnswerStatistics(Duration gangTimeout) {
    this.gangTimeout = gangTimeout;
  }

  /**
   * Records the outcome of an order.
   *
   * @param orders the orders to the same executor before it
   */
  void orderEnded(UnansweredOrders orders, OrderOutcome outcome, BatchContext context) {
    if (outcome.answered()) {
      answered(orders.count(), context);
      orders.answered();
    } else if (outcome instanceof OrderOutcome.Unanswered) {
      unanswered();
      orders.unanswered();
    } else if (outcome instanceof OrderOutcome.NotSent(String _, boolean timedOut) && timedOut) {
      orders.connectTimeouts().timedOut(context.nowNanos());
    }
  }

  /**
   * Records that an executor has answered.
   *
   * @param unansweredBefore number of orders to it, polls among them, that have gone unanswered
   *     since its last answer
   */
  void answered(int unansweredBefore, BatchContext context) {
    unansweredInRow = 0;
    long nowNanos = context.nowNanos();
    if (lastAnswerAt.isPresent() && nowNanos - lastAnswerAt.getAsLong() > FORGOTTEN_AFTER_NANOS) {
      lostShare = 0;
    }
    lastAnswerAt = OptionalLong.of(nowNanos);
    if (unansweredBefore > MAX_LOST_IN_ROW) {
      return;
    }
    lostShare += WEIGHT * ((unansweredBefore > 0 ? 1 : 0) - lostShare);
    boolean nowLossy = lostShare > (lossy ? LOSSLESS_SHARE : LOSSY_SHARE);
    if (nowLossy != lossy) {
      lossy = nowLossy;
      context.note(BatchLogEvent.ANSWERS_LOST, Math.round(lostShare * PERCENT));
    }
  }

  /** Records that an order, perhaps a poll, was not answered. */
  void unanswered() {
    unansweredInRow++;
  }

  /** Records how long the answer to an order took that the executor answers at once. */
  void orderAnswered(long nanos) {
    orderTimes.answered(nanos);
  }

  /**
   * Tells whether an executor counts as silent.
   *
   * @param unansweredPolls number of unanswered polls in a row
   * @param nanos time since the first of them went unanswered
   */
  boolean silent(int unansweredPolls, long nanos) {
    return unansweredPolls >= pollsUntilSilent() || nanos >= MAX_TOLERATED_NANOS;
  }

  /** Returns after how many unanswered polls in a row an executor counts as silent. */
  int pollsUntilSilent() {
    return lossy ? Math.clamp(ordersUntil(SILENT_PROBABILITY), 1, MAX_TOLERATED_POLLS) : 1;
  }

  /**
   * Tells whether a start is given up because of its unanswered orders.
   *
   * @param orders how many were sent
   * @param nanos time since the first one
   */
  boolean givesUpStart(int orders, long nanos) {
    boolean tooLate = orders >= MIN_START_ORDERS && nanos >= startLimit().toNanos();
    return tooLate || orders >= maxStartOrders();
  }

  private long maxStartOrders() {
    return lossy ? startLimit().toMillis() / lossyTimeout().toMillis() : MIN_START_ORDERS;
  }

  /**
   * Returns the time in which a start is ordered again. While answers are lost, the next order may
   * well be carried out, and a gang that is given up loses the starts of all its members.
   */
  private Duration startLimit() {
    Duration untilMembersEnd = gangTimeout.minus(GANG_MARGIN);
    Duration usual = ORDER_TIMEOUT.multipliedBy(MIN_START_ORDERS);
    return lossy || untilMembersEnd.compareTo(usual) < 0 ? untilMembersEnd : usual;
  }

  /** Returns how many orders it takes until all of them are lost with a probability at most. */
  private int ordersUntil(double probability) {
    return (int) Math.ceil(Math.log(probability) / Math.log(lostShare));
  }

  /** Returns how long to wait for the answer to an order. */
  Duration orderTimeout() {
    if (!lossy || unansweredInRow >= MAX_UNANSWERED_IN_ROW) {
      return ORDER_TIMEOUT;
    }
    return lossyTimeout();
  }

  private Duration lossyTimeout() {
    Duration late = orderTimes.lateAfter();
    return late.compareTo(ORDER_TIMEOUT) < 0 ? late : ORDER_TIMEOUT;
  }

  /** Returns how long to wait for the answer to a poll, besides the time that it may be held. */
  Duration pollMargin() {
    Duration late = orderTimeout();
    return late.compareTo(POLL_TIMEOUT_MARGIN) < 0 ? late : POLL_TIMEOUT_MARGIN;
  }

  /**
   * Returns the pause between polls of an executor that counts as silent. There is none while
   * answers are lost and runs of it wait for news, since the next one may well be answered.
   */
  Duration silentPollPause(boolean idle) {
    if (lossy && !idle) {
      return Duration.ZERO;
    }
    return idle ? IDLE_RETRY_PAUSE : RETRY_PAUSE;
  }

  /** Returns how long an executor may hold a poll while no run ends. */
  Duration pollWait() {
    return lossy ? LOSSY_POLL_WAIT : MAX_POLL_WAIT;
  }
}
