package org.fescuehook.logic.dispatch;

import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.platform.LogAppender;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.SlotShares;

/** An event that the dispatch core handles. A ticket identifies a request within this process. */
public sealed interface DispatchEvent {

  /** A caller's request arrived completely. */
  record Arrived(long ticket, RequestAttributes attributes) implements DispatchEvent {}

  /** The caller of a request disconnected. */
  record Cancelled(long ticket) implements DispatchEvent {}

  /** A dispatch ended. */
  record DispatchEnded(long ticket, DispatchResult result, long tookMillis)
      implements DispatchEvent {}

  /** A pooled connection to an executor made no progress. */
  record PathSuspected(ExecutorId executor) implements DispatchEvent {}

  /** The attempt to open a new connection to an executor ended. */
  record PathChecked(ExecutorId executor, boolean reachable) implements DispatchEvent {}

  /** A configuration took effect. */
  record Configured(Configuration configuration) implements DispatchEvent {}

  /** Shares of the executors' slots were announced. */
  record Shared(SlotShares shares) implements DispatchEvent {}

  /** The set of leaving executors changed to {@code executors}. */
  record Leaving(Set<ExecutorId> executors) implements DispatchEvent {}

  /**
   * A record of the stream {@code requests} was read; records come in the order of their offsets.
   */
  record RecordRead(LogRecord record) implements DispatchEvent {}

  /** A read reached the end of the stream {@code requests}. */
  record CaughtUp(long earliest, long next) implements DispatchEvent {}

  /** The log became reachable or unreachable. */
  record LogReachable(boolean reachable) implements DispatchEvent {}

  /** An append ended. */
  record AppendEnded(long append, LogAppender.AppendResult result) implements DispatchEvent {}

  /** A peer's reply to the request for an outcome; empty if it gave none. */
  record OutcomeFetched(long ticket, Optional<OutcomeReply> reply) implements DispatchEvent {}

  /** The VM started or stopped accepting new requests. */
  record Ready(boolean ready, RefusalReason why) implements DispatchEvent {}

  /** Triggers the tasks that are due; sent at regular intervals. */
  record Tick() implements DispatchEvent {}
}
