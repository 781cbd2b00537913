package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Function;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.model.batch.JobPhase;

/**
 * Questions about jobs that this owner does not know. Another VM may have taken over and accepted
 * the job, so "no such job" is said only once the store has confirmed this owner after the question
 * came; that takes one heartbeat, 0.5 s at most.
 */
final class UnknownJobDesk {

  /**
   * Longest wait for the confirmation: a heartbeat that a slow store delays. VMs that pass calls on
   * wait 0.9 s for an answer.
   */
  private static final long LONGEST_WAIT_NANOS = Duration.ofMillis(800).toNanos();

  private static final long COME_BACK_MILLIS = 1000;

  private final Deque<Question> open = new ArrayDeque<>();

  private record Question(long ticket, String job, long askedAt) {}

  /** Takes a question. */
  void ask(long ticket, String job, BatchTurn turn) {
    open.add(new Question(ticket, job, turn.nowNanos()));
  }

  /**
   * Answers what can be answered, in the order of the questions.
   *
   * @param confirmedAt when the last heartbeat that the store confirmed was sent, monotonic time
   * @param shown looks a job up, which may have been accepted since the question
   */
  void step(long confirmedAt, Function<String, Optional<JobPhase>> shown, BatchTurn turn) {
    while (!open.isEmpty()) {
      Question oldest = open.peek();
      if (confirmedAt - oldest.askedAt() > 0) {
        Optional<CallAnswer> phase = shown.apply(oldest.job()).map(CallAnswer.Phase::new);
        answer(open.remove(), phase.orElseGet(CallAnswer.NoSuchJob::new), turn);
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
