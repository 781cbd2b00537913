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
 * Appends own records and holds each until reading tells what became of it. Nothing is appended
 * again blindly: the reply to an append is not used but for the certain word that it failed. A
 * record is known to be absent once a later own record was read, since the fold drops what was
 * overtaken.
 */
public final class RecordWriter {

  private static final Duration BARRIER_INTERVAL = Duration.ofMillis(500);
  private static final Duration UNREAD_TIMEOUT = Duration.ofSeconds(30);

  private record PendingRecord(ControlRecord record, boolean outcomeUnknown) {}

  private final VmId vm;
  private final String incarnation;
  private final TreeMap<Long, PendingRecord> pending = new TreeMap<>();
  private long lastSequence;
  private long lastAppendNanos = Long.MIN_VALUE / 2;
  private long lastFailureNanos = Long.MIN_VALUE / 2;

  /** Creates a writer that has written nothing. */
  public RecordWriter(VmId vm, String incarnation) {
    this.vm = vm;
    this.incarnation = incarnation;
  }

  /** Tells whether a decision may be appended now. */
  public boolean hasCapacity(DecisionContext context) {
    return pending.size() < ControlLimits.MAX_PENDING_APPENDS && backoffElapsed(context);
  }

  /** After a failure the appender or the log gets a rest, however soon the failure came. */
  private boolean backoffElapsed(DecisionContext context) {
    return context.hasElapsed(lastFailureNanos, ControlLimits.APPEND_BACKOFF);
  }

  /** Tells whether the record of a request may be appended now. */
  public boolean hasCapacityForRequest(DecisionContext context) {
    return pending.size() < ControlLimits.MAX_PENDING_REQUEST_APPENDS && backoffElapsed(context);
  }

  /** Returns the number of records whose outcome is not known. */
  public int pendingCount() {
    return pending.size();
  }

  /** Tells whether the outcome of a record is not known yet. */
  public boolean isPending(long sequence) {
    return pending.containsKey(sequence);
  }

  /** Tells whether a record is on its way to the log, or there and not read yet. */
  public boolean hasAppendInFlight() {
    return pending.values().stream().anyMatch(entry -> !entry.outcomeUnknown());
  }

  /** Returns the monotonic time of the last append. */
  public long lastAppendNanos() {
    return lastAppendNanos;
  }

  /**
   * Appends a record that needs no owner.
   *
   * @param body a builder with only the body set
   * @return the sequence of the record
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

  /** Appends a decision under an epoch. */
  public long append(ControlRecord.Builder body, long epoch, DecisionContext context) {
    return append(body.setEpochPlusOne(epoch + 1), context);
  }

  /** Takes in the word that an append failed; returns what is known by it. */
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

  /** Takes in a record of the log; returns what is known by it of own records. */
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
   * Appends a record that counts for nothing, if the last own record has an unknown outcome or was
   * not read for long, as when it vanished before: reading it tells what became of those before.
   * Called only while the log can be read.
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
