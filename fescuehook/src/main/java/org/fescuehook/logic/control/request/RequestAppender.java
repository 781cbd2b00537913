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
 * Appends the records of requests, and answers each request when its record was read. "Not run" is
 * said only where the record was never appended, or surely will not count; a request whose wait
 * ends before that is told that its outcome is unknown.
 */
public final class RequestAppender {

  private record Pending(long ticket, ControlRecord body, long sinceNanos) {}

  private final RecordWriter writer;
  private final CatchUpTracker reader;
  private final Deque<Pending> queue = new ArrayDeque<>();
  private final Map<Long, Pending> appended = new HashMap<>();

  /** Creates a desk without requests. */
  public RequestAppender(RecordWriter writer, CatchUpTracker reader) {
    this.writer = writer;
    this.reader = reader;
  }

  /** Takes a request whose record, of which only the body is set, is to be appended. */
  void take(long ticket, ControlRecord.Builder body, DecisionContext turn) {
    if (!reader.current(turn)) {
      Refusals.refuse(ticket, RefusalReason.LOG_UNAVAILABLE, "log unreachable", turn);
      return;
    }
    if (queue.size() >= ControlLimits.MOST_QUEUED_REQUESTS) {
      Refusals.refuse(ticket, RefusalReason.QUEUE_FULL, "too many requests wait", turn);
      return;
    }
    queue.addLast(new Pending(ticket, body.build(), turn.now()));
  }

  /** Takes in what became of an own record. */
  public void resolved(RecordOutcome resolution, ControlState state, DecisionContext turn) {
    Pending pending = appended.remove(resolution.record().getSequence());
    if (pending == null) {
      return;
    }
    switch (resolution.fate()) {
      case COUNTED -> turn.reply(pending.ticket(), accepted(pending.body(), resolution.offset()));
      case NOT_COUNTED -> turn.reply(pending.ticket(), overtaken(pending.body(), state));
      case ABSENT -> queue.addFirst(pending);
    }
  }

  private static Answer accepted(ControlRecord body, long offset) {
    return switch (body.getBodyCase()) {
      case JOB_SUBMITTED -> new Answer.Accepted(new JobId(body.getJobSubmitted().getJob()));
      case CONFIGURATION_PUBLISHED -> new Answer.Published(offset);
      default -> new Answer.Done();
    };
  }

  /** Another record made this one void: the same submission, another publication, or an end. */
  private static Answer overtaken(ControlRecord body, ControlState state) {
    return switch (body.getBodyCase()) {
      case JOB_SUBMITTED -> new Answer.Accepted(firstSubmission(body.getJobSubmitted(), state));
      case CONFIGURATION_PUBLISHED -> winner(body.getConfigurationPublished(), state);
      default -> new Answer.Done();
    };
  }

  private static JobId firstSubmission(JobSubmitted submitted, ControlState state) {
    return state
        .jobs()
        .findByRequest(submitted.getOrganisation(), submitted.getRequestId())
        .orElse(new JobId(submitted.getJob()));
  }

  static Answer winner(ConfigurationPublished published, ControlState state) {
    boolean same = published.getDeclarations().equals(state.configuration().getDeclarations());
    if (same) {
      return new Answer.Published(state.revision());
    }
    return new Answer.Conflict(state.revision(), state.configuration().getAuthor());
  }

  /** Appends what there is room for, and ends waits that took too long. */
  public void step(ControlState state, DecisionContext turn) {
    expire(turn);
    if (!reader.current(turn)) {
      refuseQueued(turn);
      return;
    }
    while (!queue.isEmpty() && writer.hasRoomForRequest(turn)) {
      Pending pending = queue.removeFirst();
      if (isVoid(pending.body(), state)) {
        turn.reply(pending.ticket(), overtaken(pending.body(), state));
      } else {
        appended.put(writer.append(pending.body().toBuilder(), turn), pending);
      }
    }
  }

  /** Tells whether records read while a request waited made its record void. */
  private static boolean isVoid(ControlRecord body, ControlState state) {
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

  private void refuseQueued(DecisionContext turn) {
    for (Pending pending : queue) {
      Refusals.refuse(pending.ticket(), RefusalReason.LOG_UNAVAILABLE, "log unreachable", turn);
    }
    queue.clear();
  }

  private void expire(DecisionContext turn) {
    while (!queue.isEmpty() && expired(queue.peekFirst(), turn)) {
      long ticket = queue.removeFirst().ticket();
      Refusals.refuse(ticket, RefusalReason.LOG_UNAVAILABLE, "log too slow", turn);
    }
    List<Pending> unknown = new ArrayList<>();
    Iterator<Pending> entries = appended.values().iterator();
    while (entries.hasNext()) {
      Pending pending = entries.next();
      if (expired(pending, turn)) {
        unknown.add(pending);
        entries.remove();
      }
    }
    unknown.sort((a, b) -> Long.compare(a.ticket(), b.ticket()));
    for (Pending pending : unknown) {
      String detail = "the log did not answer in time; " + mayBe(pending.body());
      Refusals.refuse(pending.ticket(), RefusalReason.OUTCOME_UNKNOWN, detail, turn);
    }
  }

  private static boolean expired(Pending pending, DecisionContext turn) {
    return turn.passed(pending.sinceNanos(), ControlLimits.REQUEST_WAIT);
  }

  private static String mayBe(ControlRecord body) {
    return switch (body.getBodyCase()) {
      case JOB_SUBMITTED -> "the job may be accepted as " + body.getJobSubmitted().getJob();
      case CONFIGURATION_PUBLISHED -> "the configuration may be published";
      default -> "the request may take effect";
    };
  }

  /** Returns the number of requests that wait for an answer. */
  public int size() {
    return queue.size() + appended.size();
  }
}
