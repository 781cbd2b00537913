package org.fescuehook.logic.dispatch;

import org.fescuehook.model.event.NumberedEvent;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.RequestKey;
import org.fescuehook.wire.RequestRecord;

/** What the dispatch core wants done. */
public sealed interface DispatchCommand {

  /**
   * Send a request to an executor.
   *
   * @param token unique for this dispatch
   * @param progressMillis longest time without a sign of life on a pooled connection; 0 for none
   */
  record Send(long ticket, ExecutorId executor, String token, long progressMillis)
      implements DispatchCommand {}

  /**
   * Answer a request with a refusal.
   *
   * @param retryAfterSeconds when to come back; 0 for no advice
   */
  record Refuse(long ticket, RefusalReason reason, String detail, int retryAfterSeconds)
      implements DispatchCommand {}

  /** Answer a request with the recorded answer to an earlier one with the same id. */
  record AnswerRecorded(long ticket, int status, String contentType, byte[] body)
      implements DispatchCommand {}

  /** Forget a request: its answer was passed on, or its caller is gone. */
  record Finish(long ticket) implements DispatchCommand {}

  /** Append a record to the stream {@code requests}. */
  record Append(long append, RequestRecord record) implements DispatchCommand {}

  /** Ask the claimant of a request id for its outcome. */
  record FetchOutcome(long ticket, VmId claimant, RequestKey key) implements DispatchCommand {}

  /** Open a fresh connection to an executor, to see whether it can be reached. */
  record CheckPath(ExecutorId executor) implements DispatchCommand {}

  /** Close the idle connections to an executor. */
  record CloseIdle(ExecutorId executor) implements DispatchCommand {}

  /** Count a retry. */
  record CountRetry(RetryReason reason) implements DispatchCommand {}

  /** Count one under a metric name, with tag pairs. */
  record Count(String name, String... tags) implements DispatchCommand {}

  /** Write a log line. */
  record Note(NumberedEvent event, Object... arguments) implements DispatchCommand {}
}
