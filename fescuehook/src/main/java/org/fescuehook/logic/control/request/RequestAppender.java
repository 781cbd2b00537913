package org.fescuehook.logic.control.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.append.RecordOutcome;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.ownership.CatchUpTracker;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.ConfigurationPublished;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.JobSubmitted;

/**
 * Appends the records of requests, and answers each request when its record was read back. A
 * request is reported as not executed only if its record was never appended, or is known never to
 * take effect; if its wait times out before that is known, its outcome is reported as unknown.
 */
public final class RequestAppender {

  private record PendingRequest(long ticket, ControlRecord body, long sinceNanos) {}

  private final RecordWriter writer;
  private final CatchUpTracker catchUp;
  private final Deque<PendingRequest> queue = new ArrayDeque<>();
  private final Map<Long, PendingRequest> appended = new HashMap<>();

  /** Creates an appender without requests. */
  public RequestAppender(RecordWriter writer, CatchUpTracker catchUp) {
    this.writer = writer;
    this.catchUp = catchUp;
  }

  /** Accepts a request whose record is to be appended. Only the body of the record is set. */
  void accept(long ticket, ControlRecord.Builder body, DecisionContext context) {
    if (!catchUp.current(context)) {
      Refusals.refuse(ticket, RefusalReason.LOG_UNAVAILABLE, "log unreachable", context);
      return;
    }
    if (queue.size() >= ControlLimits.MAX_QUEUED_REQUESTS) {
      Refusals.refuse(ticket, RefusalReason.QUEUE_FULL, "too many requests wait", context);
      return;
    }
    queue.addLast(new PendingRequest(ticket, body.build(), context.nowNanos()));
  }

  /** Handles the outcome of a record that this VM appended. */
  public void resolved(RecordOutcome outcome, ControlState state, DecisionContext context) {
    PendingRequest pending = appended.remove(outcome.record().getSequence());
    if (pending == null) {
      return;
    }
    switch (outcome.kind()) {
      case COUNTED -> context.reply(pending.ticket(), succeeded(pending.body(), outcome.offset()));
      case NOT_COUNTED -> context.reply(pending.ticket(), superseded(pending.body(), state));
      case ABSENT -> queue.addFirst(pending);
    }
  }

  private static Answer succeeded(ControlRecord body, long offset) {
    return switch (body.getBodyCase()) {
      case JOB_SUBMITTED -> new Answer.Accepted(new JobId(body.getJobSubmitted().getJob()));
      case CONFIGURATION_PUBLISHED -> new Answer.Published(offset);
      default -> new Answer.Done();
    };
  }

  /**
   * Returns the answer to a request whose record has no effect because another one preceded it: the
   * same submission, another publication, or the end of the job.
   */
  private static Answer superseded(ControlRecord body, ControlState state) {
    return switch (body.getBodyCase()) {
      case JOB_SUBMITTED -> new Answer.Accepted(firstSubmission(body.getJobSubmitted(), state));
      case CONFIGURATION_PUBLISHED -> publicationAnswer(body.getConfigurationPublished(), state);
      default -> new Answer.Done();
    };
  }

  private static JobId firstSubmission(JobSubmitted submitted, ControlState state) {
    return state
        .jobs()
        .findByRequest(submitted.getOrganisation(), submitted.getRequestId())
        .orElse(new JobId(submitted.getJob()));
  }

  static Answer publicationAnswer(ConfigurationPublished published, ControlState state) {
    boolean same = published.getDeclarations().equals(state.configuration().getDeclarations());
    if (same) {
      return new Answer.Published(state.revision());
    }
    return new Answer.Conflict(state.revision(), state.configuration().getAuthor());
  }

  /** Appends the records for which there is capacity, and answers requests whose wait timed out. */
  public void step(ControlState state, DecisionContext context) {
    expire(context);
    if (!catchUp.current(context)) {
      refuseQueued(context);
      return;
    }
    while (!queue.isEmpty() && writer.hasCapacityForRequest(context)) {
      PendingRequest pending = queue.removeFirst();
      if (hasNoEffect(pending.body(), state)) {
        context.reply(pending.ticket(), superseded(pending.body(), state));
      } else {
        appended.put(writer.append(pending.body().toBuilder(), context), pending);
      }
    }
  }

  /**
   * Returns whether the record of a request would have no effect because of records that were read
   * while the request waited.
   */
  private static boolean hasNoEffect(ControlRecord body, ControlState state) {
    return switch (body.getBodyCase()) {
      case JOB_SUBMITTED -> {
        JobSubmitted submitted = body.getJobSubmitted();
        yield !submitted.getRequestId().isEmpty()
            && state
                .jobs()
                .findByRequest(submitted.getOrganisation(), submitted.getRequestId())
                .isPresent();
      }
      case CONFIGURATION_PUBLISHED ->
          body.getConfigurationPublished().getBaseRevisionPlusOne() != state.revision() + 1;
      default -> false;
    };
  }

  private void refuseQueued(DecisionContext context) {
    for (PendingRequest pending : queue) {
      Refusals.refuse(pending.ticket(), RefusalReason.LOG_UNAVAILABLE, "log unreachable", context);
    }
    queue.clear();
  }

  private void expire(DecisionContext context) {
    while (!queue.isEmpty() && expired(queue.peekFirst(), context)) {
      long ticket = queue.removeFirst().ticket();
      Refusals.refuse(ticket, RefusalReason.LOG_UNAVAILABLE, "log too slow", context);
    }
    List<PendingRequest> timedOut = new ArrayList<>();
    Iterator<PendingRequest> entries = appended.values().iterator();
    while (entries.hasNext()) {
      PendingRequest pending = entries.next();
      if (expired(pending, context)) {
        timedOut.add(pending);
        entries.remove();
      }
    }
    timedOut.sort((a, b) -> Long.compare(a.ticket(), b.ticket()));
    for (PendingRequest pending : timedOut) {
      String detail = "the log did not answer in time; " + possibleEffect(pending.body());
      Refusals.refuse(pending.ticket(), RefusalReason.OUTCOME_UNKNOWN, detail, context);
    }
  }

  private static boolean expired(PendingRequest pending, DecisionContext context) {
    return context.hasElapsed(pending.sinceNanos(), ControlLimits.REQUEST_TIMEOUT);
  }

  private static String possibleEffect(ControlRecord body) {
    return switch (body.getBodyCase()) {
      case JOB_SUBMITTED -> "the job may be accepted as " + body.getJobSubmitted().getJob();
      case CONFIGURATION_PUBLISHED -> "the configuration may be published";
      default -> "the request may take effect";
    };
  }

  /** Returns the number of requests that are not answered yet. */
  public int size() {
    return queue.size() + appended.size();
  }
}
