package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.advice.AdviceOutcome;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.logic.batch.ownership.OwnerRecord;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;

/** What the core is told. */
public sealed interface BatchEvent {

  /**
   * A caller asks; exactly one answer with the same ticket follows.
   *
   * @param patience how long an answer is of use
   */
  record Called(long ticket, BatchCall call, Duration patience) implements BatchEvent {}

  /** A configuration was read; an older one than known is dropped. */
  record ConfigurationRead(BatchConfiguration configuration) implements BatchEvent {}

  /** An append ended. */
  record Appended(StreamName stream, WriterPosition position, AppendOutcome outcome)
      implements BatchEvent {}

  /**
   * The stream of ownership was read to its end.
   *
   * @param newest newest record that this read saw; absent if it saw none
   * @param end offset after the last record of the stream
   */
  record OwnershipRead(Optional<OwnerRecord> newest, long end) implements BatchEvent {}

  /** The stream of ownership could not be read. */
  record OwnershipUnreadable() implements BatchEvent {}

  /**
   * The owner has told that it cannot reach the store, or it could not be connected to: it may be
   * replaced sooner than by its silence alone.
   */
  record OwnerDoubted() implements BatchEvent {}

  /** A peer knows an owner. */
  record OwnerHinted(OwnerHint hint) implements BatchEvent {}

  /**
   * A page of the jobs' stream.
   *
   * @param epoch epoch of the take-over that asked for it
   * @param more key after which the next page begins; absent on the last page
   */
  record StateRead(long epoch, List<KeyedRecord> records, Optional<String> more)
      implements BatchEvent {}

  /** A page of the jobs' stream could not be read. */
  record StateUnreadable(long epoch) implements BatchEvent {}

  /** An executor is listed, or its entry changed. */
  record ExecutorSeen(ExecutorProfile profile) implements BatchEvent {}

  /** An executor is no longer listed. */
  record ExecutorUnlisted(ExecutorId executor) implements BatchEvent {}

  /** All executors that are listed now, in place of what was known. */
  record ExecutorsListed(List<ExecutorProfile> profiles) implements BatchEvent {}

  /** An order ended. */
  record OrderEnded(ExecutorId executor, long number, OrderOutcome outcome) implements BatchEvent {}

  /** A question to the advice service ended. */
  record AdviceEnded(long number, AdviceOutcome outcome) implements BatchEvent {}

  /** This VM stops: give ownership up. */
  record StopBegun() implements BatchEvent {}

  /** Time passed. */
  record Tick() implements BatchEvent {}
}
