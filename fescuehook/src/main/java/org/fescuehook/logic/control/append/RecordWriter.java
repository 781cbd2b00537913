package org.fescuehook.logic.control.append;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.append.RecordOutcome.Kind;
import org.fescuehook.logic.control.record.RecordCodec;
import org.fescuehook.logic.control.state.FoldResult;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.OwnerHeartbeat;

/**
 * Appends records of this VM and tracks each until its outcome is read from the log. The reply to
 * an append is used only if it reports a certain failure, so nothing is appended again while it may
 * be in the log. A record that was not read is known to be absent once a later record of this VM
 * was read, because a record that arrives after a later one of its writer is dropped (see {@code
 * WriterSequences}).
 */
public final class RecordWriter {

  /** Time from the last append to a barrier if the outcome of the last append is unknown. */
  private static final Duration BARRIER_INTERVAL = Duration.ofMillis(500);

  /** Time from the last append to a barrier if the append did not fail but was not read. */
  private static final Duration UNREAD_TIMEOUT = Duration.ofSeconds(30);

  private record PendingRecord(ControlRecord record, boolean outcomeUnknown) {}

  private final VmId vm;
  private final String incarnation;
  private final TreeMap<Long, PendingRecord> pending = new TreeMap<>();
  private long lastSequence;
  private long lastAppendNanos = Long.MIN_VALUE / 2;
  private long lastFailureNanos = Long.MIN_VALUE / 2;

  /** Creates a writer that has appended nothing. */
  public RecordWriter(VmId vm, String incarnation) {
    this.vm = vm;
    this.incarnation = incarnation;
  }

  /** Returns whether a decision may be appended now. */
  public boolean hasCapacity(DecisionContext context) {
    return pending.size() < ControlLimits.MAX_PENDING_APPENDS && backoffElapsed(context);
  }

  /**
   * Returns whether the backoff after the last failed append has elapsed. It keeps appends that
   * fail at once from being repeated in a tight loop.
   */
  private boolean backoffElapsed(DecisionContext context) {
    return context.hasElapsed(lastFailureNanos, ControlLimits.APPEND_BACKOFF);
  }

  /** Returns whether the record of a request may be appended now. */
  public boolean hasCapacityForRequest(DecisionContext context) {
    return pending.size() < ControlLimits.MAX_PENDING_REQUEST_APPENDS && backoffElapsed(context);
  }

  /** Returns the number of records whose outcome is not known yet. */
  public int pendingCount() {
    return pending.size();
  }

  /** Returns whether the outcome of the record with this sequence number is not known yet. */
  public boolean isPending(long sequence) {
    return pending.containsKey(sequence);
  }

  /**
   * Returns whether the append of a record is in flight, or the record is in the log and not read
   * yet.
   */
  public boolean hasAppendInFlight() {
    return pending.values().stream().anyMatch(entry -> !entry.outcomeUnknown());
  }

  /** Returns the monotonic time of the last append. */
  public long lastAppendNanos() {
    return lastAppendNanos;
  }

  /**
   * Appends a record that is not a decision of the owner.
   *
   * @param body builder in which only the body is set
   * @return the sequence number of the record
   */
  public long append(ControlRecord.Builder body, DecisionContext context) {
    lastSequence++;
    ControlRecord record =
        body.setVersion(RecordCodec.VERSION)
            .setWriter(vm.value())
            .setIncarnation(incarnation)
            .setSequence(lastSequence)
            .setWrittenMillis(context.wallMillis())
            .build();
    pending.put(lastSequence, new PendingRecord(record, false));
    lastAppendNanos = context.nowNanos();
    context.append(record);
    return lastSequence;
  }

  /** Appends a decision of the owner under an epoch. */
  public long append(ControlRecord.Builder body, long epoch, DecisionContext context) {
    return append(body.setEpochPlusOne(epoch + 1), context);
  }

  /** Handles that an append failed; returns the outcomes that are known thereby. */
  public List<RecordOutcome> failed(long sequence, boolean certain, DecisionContext context) {
    lastFailureNanos = context.nowNanos();
    PendingRecord entry = pending.get(sequence);
    if (entry == null) {
      return List.of();
    }
    if (!certain) {
      pending.put(sequence, new PendingRecord(entry.record(), true));
      return List.of();
    }
    pending.remove(sequence);
    return List.of(new RecordOutcome(entry.record(), Kind.ABSENT, -1));
  }

  /**
   * Handles a record that was read; returns the outcomes of this VM's records that are known
   * thereby.
   */
  public List<RecordOutcome> read(ControlRecord record, FoldResult result, long offset) {
    boolean own =
        record.getWriter().equals(vm.value()) && record.getIncarnation().equals(incarnation);
    if (!own || result == FoldResult.DUPLICATE) {
      return List.of();
    }
    List<RecordOutcome> outcomes = new ArrayList<>();
    Iterator<Map.Entry<Long, PendingRecord>> entries =
        pending.headMap(record.getSequence(), true).entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Long, PendingRecord> entry = entries.next();
      ControlRecord mine = entry.getValue().record();
      if (entry.getKey() == record.getSequence()) {
        Kind kind = result == FoldResult.COUNTED ? Kind.COUNTED : Kind.NOT_COUNTED;
        outcomes.add(new RecordOutcome(mine, kind, offset));
      } else {
        outcomes.add(new RecordOutcome(mine, Kind.ABSENT, -1));
      }
      entries.remove();
    }
    return outcomes;
  }

  /**
   * Appends a barrier, which is a record without effect, if the append of the last pending record
   * failed with an unknown outcome, or that record was not read for {@link #UNREAD_TIMEOUT}, for
   * example because the log's retention removed it first. Once the barrier is read, the outcome of
   * all records before it is known. Called only while the log can be read.
   */
  public void appendBarrierIfDue(DecisionContext context) {
    if (pending.isEmpty() || !backoffElapsed(context)) {
      return;
    }
    boolean outcomeUnknown = pending.lastEntry().getValue().outcomeUnknown();
    Duration wait = outcomeUnknown ? BARRIER_INTERVAL : UNREAD_TIMEOUT;
    if (context.hasElapsed(lastAppendNanos, wait)) {
      append(
          ControlRecord.newBuilder().setOwnerHeartbeat(OwnerHeartbeat.getDefaultInstance()),
          context);
    }
  }
}
