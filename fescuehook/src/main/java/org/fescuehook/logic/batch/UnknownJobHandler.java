package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.model.batch.JobPhase;

/**
 * Questions about jobs that this owner does not know. Another VM may have taken over and accepted
 * the job, so "no such job" is said only once the store has confirmed this owner after the question
 * came. That takes one heartbeat, which a slow store delays by seconds; so a question waits as long
 * as an answer is of use.
 */
final class UnknownJobHandler {

  /** The time that a refusal keeps for its way, so that it comes before the caller gives up. */
  private static final long WAY_NANOS = Duration.ofMillis(100).toNanos();

  private static final long COME_BACK_MILLIS = 1000;

  private final List<Open> open = new ArrayList<>();

  private record Open(JobQuery question, long askedAt) {}

  /** Takes a question. */
  void ask(JobQuery question, BatchTurn turn) {
    open.add(new Open(question, turn.nowNanos()));
  }

  /**
   * Answers what can be answered, in the order of the questions.
   *
   * @param confirmedAt when the last heartbeat that the store confirmed was sent, monotonic time
   * @param shown looks a job up, which may have been accepted since the question
   */
  void step(long confirmedAt, Function<String, Optional<JobPhase>> shown, BatchTurn turn) {
    Iterator<Open> questions = open.iterator();
    while (questions.hasNext()) {
      Open next = questions.next();
      JobQuery question = next.question();
      if (confirmedAt - next.askedAt() > 0) {
        Optional<CallAnswer> phase = shown.apply(question.job()).map(CallAnswer.Phase::new);
        answer(question, phase.orElseGet(CallAnswer.NoSuchJob::new), turn);
        questions.remove();
      } else if (turn.nowNanos() - question.until() >= -WAY_NANOS) {
        answer(question, refusal(RefusalCause.STORE_AWAY), turn);
        questions.remove();
      }
    }
  }

  /** Ends with the epoch: the next owner knows. */
  void close(BatchTurn turn) {
    open.forEach(left -> answer(left.question(), refusal(RefusalCause.NOT_OWNER), turn));
    open.clear();
  }

  private static CallAnswer refusal(RefusalCause cause) {
    return new CallAnswer.Refused(cause, COME_BACK_MILLIS);
  }

  private static void answer(JobQuery question, CallAnswer answer, BatchTurn turn) {
    turn.add(new BatchCommand.Answer(question.ticket(), answer));
  }
}
