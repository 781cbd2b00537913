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
 * Answers status requests about jobs that this owner does not know. Another VM may have taken over
 * and accepted the job, so "no such job" is answered only after the store has confirmed a heartbeat
 * of this owner that was sent after the request arrived. A slow store delays heartbeats by seconds;
 * so a request waits for as long as its caller does.
 */
final class UnknownJobHandler {

  /**
   * How long before the caller stops waiting the request is refused, so that the refusal reaches
   * the caller in time.
   */
  private static final long ANSWER_MARGIN_NANOS = Duration.ofMillis(100).toNanos();

  private static final long RETRY_AFTER_MILLIS = 1000;

  private final List<WaitingQuery> waiting = new ArrayList<>();

  private record WaitingQuery(JobQuery query, long askedAt) {}

  /** Adds a status request. */
  void ask(JobQuery query, BatchContext context) {
    waiting.add(new WaitingQuery(query, context.nowNanos()));
  }

  /**
   * Answers the requests that can be answered, in the order of their arrival.
   *
   * @param confirmedAt when the last heartbeat that the store confirmed was sent, monotonic time
   * @param lookup looks up a job, which may have been accepted since the request arrived
   */
  void step(long confirmedAt, Function<JobQuery, Optional<JobPhase>> lookup, BatchContext context) {
    Iterator<WaitingQuery> queries = waiting.iterator();
    while (queries.hasNext()) {
      WaitingQuery next = queries.next();
      JobQuery query = next.query();
      if (confirmedAt - next.askedAt() > 0) {
        Optional<CallAnswer> phase = lookup.apply(query).map(CallAnswer.Phase::new);
        answer(query, phase.orElseGet(CallAnswer.NoSuchJob::new), context);
        queries.remove();
      } else if (context.nowNanos() - query.until() >= -ANSWER_MARGIN_NANOS) {
        answer(query, refusal(RefusalCause.STORE_AWAY), context);
        queries.remove();
      }
    }
  }

  /** Ends the epoch and refuses all waiting requests, so that callers ask the next owner. */
  void close(BatchContext context) {
    waiting.forEach(
        unanswered -> answer(unanswered.query(), refusal(RefusalCause.NOT_OWNER), context));
    waiting.clear();
  }

  private static CallAnswer refusal(RefusalCause cause) {
    return new CallAnswer.Refused(cause, RETRY_AFTER_MILLIS);
  }

  private static void answer(JobQuery query, CallAnswer answer, BatchContext context) {
    context.add(new BatchCommand.Answer(query.ticket(), answer));
  }
}
