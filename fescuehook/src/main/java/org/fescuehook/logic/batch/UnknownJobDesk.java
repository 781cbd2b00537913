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
final class UnknownJobDesk {

  /** The time that a refusal keeps for its way, so that it comes before the caller gives up. */
  private static final long WAY_NANOS = Duration.ofMillis(100).toNanos();

  private static final long COME_BACK_MILLIS = 1000;

  private final List<Open> open = new ArrayList<>();

  private record Open(JobQuestion question, long askedAt) {}

  /** Takes a question. */
  void ask(JobQuestion question, BatchContext context) {
    open.add(new Open(question, context.nowNanos()));
  }

  /**
   * Answers what can be answered, in the order of the questions.
   *
   * @param confirmedAt when the last heartbeat that the store confirmed was sent, monotonic time
   * @param shown looks a job up, which may have been accepted since the question
   */
  void step(long confirmedAt, Function<String, Optional<JobPhase>> shown, BatchContext context) {
    Iterator<Open> questions = open.iterator();
    while (questions.hasNext()) {
      Open next = questions.next();
      JobQuestion question = next.question();
      if (confirmedAt - next.askedAt() > 0) {
        Optional<CallAnswer> phase = shown.apply(question.job()).map(CallAnswer.Phase::new);
        answer(question, phase.orElseGet(CallAnswer.NoSuchJob::new), context);
        questions.remove();
      } else if (context.nowNanos() - question.until() >= -WAY_NANOS) {
        answer(question, refusal(RefusalCause.STORE_AWAY), context);
        questions.remove();
      }
    }
  }

  /** Ends with the epoch: the next owner knows. */
  void close(BatchContext context) {
    open.forEach(left -> answer(left.question(), refusal(RefusalCause.NOT_OWNER), context));
    open.clear();
  }

  private static CallAnswer refusal(RefusalCause cause) {
    return new CallAnswer.Refused(cause, COME_BACK_MILLIS);
  }

  private static void answer(JobQuestion question, CallAnswer answer, BatchContext context) {
    context.add(new BatchCommand.Answer(question.ticket(), answer));
  }
}
