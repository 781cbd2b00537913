package org.fescuehook.logic.batch.executor;

import java.util.List;
import java.util.OptionalLong;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.batch.TaskRun;

/** The outcome of an order to an executor. */
public sealed interface OrderOutcome {

  /** The executor has carried out the order. */
  record Done(long clockMillis) implements OrderOutcome {}

  /**
   * The executor has answered a poll.
   *
   * @param bornMillis when the executor started by its own clock, milliseconds since 1970; absent
   *     if it does not report that
   * @param clockMillis the current time of the executor's clock
   * @param active the runs that are alive there
   * @param ended the first run ends that are not acknowledged yet, in order of their numbers
   * @param moreEnded whether further ends may wait, which are listed only once these are
   *     acknowledged
   */
  record Polled(
      OptionalLong bornMillis,
      long clockMillis,
      List<ActiveRun> active,
      List<EndedRun> ended,
      boolean moreEnded)
      implements OrderOutcome {}

  /** The executor has rejected the order and will never carry it out. */
  record Rejected(Rejection rejection) implements OrderOutcome {}

  /** Another incarnation of the executor answered: the one addressed is gone, with all its runs. */
  record OtherIncarnation() implements OrderOutcome {}

  /** No answer arrived: the order may be carried out now, later or never. */
  record Unanswered(String reason) implements OrderOutcome {}

  /**
   * No connection could be opened for the order, so it is never carried out.
   *
   * @param timedOut whether it was not refused either, so that the executor may be cut off
   */
  record NotSent(String reason, boolean timedOut) implements OrderOutcome {}

  /** Tells whether a readable answer arrived. */
  default boolean answered() {
    return switch (this) {
      case Done _, Polled _, Rejected _, OtherIncarnation _ -> true;
      case Unanswered _, NotSent _ -> false;
    };
  }

  /** Tells whether the order is certain not to be carried out, now or later. */
  default boolean neverCarriedOut() {
    return switch (this) {
      case NotSent _, Rejected _ -> true;
      case Done _, Polled _, OtherIncarnation _, Unanswered _ -> false;
    };
  }

  /** The reason for a rejection. */
  enum Rejection {
    /** The executor has received an order of a higher epoch. */
    FENCED,
    /** A run of the task with the same or a higher number has been stopped or has ended there. */
    SUPERSEDED,
    /** The lease in the order had expired on arrival. */
    EXPIRED,
    /** The order carries no valid ticket of the advice service. */
    NO_TICKET,
    /** The free capacity does not suffice. */
    NO_ROOM,
    /** The executor is unhealthy and accepts no work. */
    UNHEALTHY,
    /** Any other reason. */
    OTHER
  }

  /**
   * A run that is alive on an executor.
   *
   * @param checkpoint newest saved progress; empty if there is none
   * @param percent share of the work that is done, 0 to 100; for a lasting task 100 once it has
   *     started up
   * @param load for a task that serves users, the tail of its response times in milliseconds; for
   *     any other task, the CPU usage in thousandths of a core; both over the last half second
   */
  record ActiveRun(TaskRun run, String checkpoint, int percent, long load) {}

  /**
   * A run that has ended on an executor.
   *
   * @param number number of the end on this executor, from 1
   * @param checkpoint newest saved progress; empty if there is none
   */
  record EndedRun(long number, TaskRun run, RunEnd end, String checkpoint) {}
}
