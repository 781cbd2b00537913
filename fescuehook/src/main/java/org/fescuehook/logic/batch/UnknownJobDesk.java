package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;

/**
 * Questions about jobs that this owner does not know. Another VM may have taken over and accepted
 * the job, so "no such job" is said only once the store has confirmed this owner after the question
 * came; that takes one heartbeat, 0.5 s at most.
 */
final class UnknownJobDesk {

  /**
   * Longest wait for the confirmation: two heartbeats that a slow store delays, and well within the
   * 3 s that callers wait.
   */
  private static final long LONGEST_WAIT_NANOS = Duration.ofMillis(1800).toNanos();

  private static final long COME_BACK_MILLIS = 1000;

  private final Deque<Question> open = new ArrayDeque<>();

  private record Question(long ticket, long askedAt) {}

  /** Takes a question. */
  void ask(long ticket, BatchTurn turn) {
    open.add(new Question(ticket, turn.nowNanos()));
  }

  /**
   * Answers what can be answered, in the order of the questions.
   *
   * @param confirmedAt when the last heartbeat that the store confirmed was sent, monotonic time
   */
  void step(long confirmedAt, BatchTurn turn) {
    while (!open.isEmpty()) {
      Question oldest = open.peek();
      if (confirmedAt - oldest.askedAt() > 0) {
        answer(open.remove(), new CallAnswer.NoSuchJob(), turn);
      } else if (turn.nowNanos() - oldest.askedAt() > LONGEST_WAIT_NANOS) {
        answer(open.remove(), refusal(RefusalCause.STORE_AWAY), turn);
      } else {
        return;
      }
    }
  }

  /** Ends with the epoch: the next owner knows. */
  void close(BatchTurn turn) {
    while (!open.isEmpty()) {
      answer(open.remove(), refusal(RefusalCause.NOT_OWNER), turn);
    }
  }

  private static CallAnswer refusal(RefusalCause cause) {
    return new CallAnswer.Refused(cause, COME_BACK_MILLIS);
  }

  private static void answer(Question question, CallAnswer answer, BatchTurn turn) {
    turn.add(new BatchCommand.Answer(question.ticket(), answer));
  }
}
