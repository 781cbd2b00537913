package org.fescuehook.logic.dispatch;

import org.fescuehook.model.event.NumberedEvent;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.RequestKey;
import org.fescuehook.wire.RequestRecord;

/** An action that the dispatch core requests. */
public sealed interface DispatchCommand {

  /**
   * Sends a request to an executor.
   *
   * @param token unique identifier of this dispatch
   * @param progressMillis maximum time without progress on a pooled connection; 0 for no limit
   */
  record Send(long ticket, ExecutorId executor, String token, long progressMillis)
      implements DispatchCommand {}

  /**
   * Rejects a request.
   *
   * @param retryAfterSeconds time after which the caller may retry; 0 for no advice
   */
  record Refuse(long ticket, RefusalReason reason, String detail, int retryAfterSeconds)
      implements DispatchCommand {}

  /** Answers a request with the recorded answer to an earlier request with the same id. */
  record AnswerRecorded(long ticket, int status, String contentType, byte[] body)
      implements DispatchCommand {}

  /** Releases a request whose answer was passed on or whose caller disconnected. */
  record Finish(long ticket) implements DispatchCommand {}

  /** Appends a record to the stream {@code requests}. */
  record Append(long append, RequestRecord record) implements DispatchCommand {}

  /** Asks the VM that claimed a request id for the outcome. */
  record FetchOutcome(long ticket, VmId claimant, RequestKey key) implements DispatchCommand {}

  /** Opens a new connection to an executor to check whether it can be reached. */
  record CheckPath(ExecutorId executor) implements DispatchCommand {}

  /** Closes the idle connections to an executor. */
  record CloseIdle(ExecutorId executor) implements DispatchCommand {}

  /** Counts a retry. */
  record CountRetry(RetryReason reason) implements DispatchCommand {}

  /** Increments a counter, given by its metric name and pairs of tag name and value. */
  record Count(String name, String... tags) implements DispatchCommand {}

  /** Writes a log line. */
  record Note(NumberedEvent event, Object... arguments) implements DispatchCommand {}
}
