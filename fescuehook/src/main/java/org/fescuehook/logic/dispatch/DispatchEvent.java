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

/** What the dispatch core reacts to. */
public sealed interface DispatchEvent {

  /** A caller sent a whole request. */
  record Arrived(long ticket, RequestAttributes facts) implements DispatchEvent {}

  /** The caller of a request is gone. */
  record Cancelled(long ticket) implements DispatchEvent {}

  /** A dispatch ended. */
  record DispatchEnded(long ticket, DispatchResult end, long tookMillis) implements DispatchEvent {}

  /** A pooled connection to an executor gave no sign of life. */
  record PathSuspected(ExecutorId executor) implements DispatchEvent {}

  /** A fresh connection to an executor was tried. */
  record PathChecked(ExecutorId executor, boolean reachable) implements DispatchEvent {}

  /** A configuration came in force. */
  record Configured(Configuration configuration) implements DispatchEvent {}

  /** Shares of executors' slots came in force. */
  record Shared(SlotShares shares) implements DispatchEvent {}

  /** These executors, and no others, are leaving. */
  record Leaving(Set<ExecutorId> executors) implements DispatchEvent {}

  /** A record of the stream {@code requests}, in the order of offsets. */
  record RecordRead(LogRecord record) implements DispatchEvent {}

  /** A read reached the end of the stream {@code requests}. */
  record CaughtUp(long earliest, long next) implements DispatchEvent {}

  /** The log answers, or does not. */
  record LogReachable(boolean reachable) implements DispatchEvent {}

  /** An append ended. */
  record AppendEnded(long append, LogAppender.AppendResult result) implements DispatchEvent {}

  /** A peer was asked for an outcome; empty if it gave no answer. */
  record OutcomeFetched(long ticket, Optional<OutcomeReply> reply) implements DispatchEvent {}

  /** The path opened or closed for new requests. */
  record Ready(boolean ready, RefusalReason why) implements DispatchEvent {}

  /** Time has passed. */
  record Tick() implements DispatchEvent {}
}
