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
  private static final Duration LONG_UNREAD = Duration.ofSeconds(30);

  private record Unread(ControlRecord record, boolean unknown) {}

  private final VmId vm;
  private final String incarnation;
  private final TreeMap<Long, Unread> unread = new TreeMap<>();
  private long lastSequence;
  private long lastAppendNanos = Long.MIN_VALUE / 2;
  private long lastFailureNanos = Long.MIN_VALUE / 2;

  /** Creates a writer that has written nothing. */
  public RecordWriter(VmId vm, String incarnation) {
    this.vm = vm;
    this.incarnation = incarnation;
  }

  /** Tells whether a decision may be appended now. */
  public boolean hasRoom(DecisionContext turn) {
    return unread.size() < ControlLimits.MOST_UNREAD && rested(turn);
  }

  /** After a failure the appender or the log gets a rest, however soon the failure came. */
  private boolean rested(DecisionContext turn) {
    return turn.passed(lastFailureNanos, ControlLimits.APPEND_REST);
  }

  /** Tells whether the record of a request may be appended now. */
  public boolean hasRoomForRequest(DecisionContext turn) {
    return unread.size() < ControlLimits.MOST_UNREAD_REQUESTS && rested(turn);
  }

  /** Returns the number of records whose outcome is not known. */
  public int unreadCount() {
    return unread.size();
  }

  /** Tells whether the outcome of a record is not known yet. */
  public boolean isUnread(long sequence) {
    return unread.containsKey(sequence);
  }

  /** Tells whether a record is on its way to the log, or there and not read yet. */
  public boolean onItsWay() {
    return unread.values().stream().anyMatch(entry -> !entry.unknown());
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
  public long append(ControlRecord.Builder body, DecisionContext turn) {
    lastSequence++;
    ControlRecord record =
        body.setVersion(RecordCodec.VERSION)
            .setWriter(vm.value())
            .setIncarnation(incarnation)
            .setSequence(lastSequence)
            .setWrittenMillis(turn.wallMillis())
            .build();
    unread.put(lastSequence, new Unread(record, false));
    lastAppendNanos = turn.now();
    turn.append(record);
    return lastSequence;
  }

  /** Appends a decision under an epoch. */
  public long append(ControlRecord.Builder body, long epoch, DecisionContext turn) {
    return append(body.setEpochPlusOne(epoch + 1), turn);
  }

  /** Takes in the word that an append failed; returns what is known by it. */
  public List<RecordOutcome> failed(long sequence, boolean certain, DecisionContext turn) {
    lastFailureNanos = turn.now();
    Unread entry = unread.get(sequence);
    if (entry == null) {
      return List.of();
    }
    if (!certain) {
      unread.put(sequence, new Unread(entry.record(), true));
      return List.of();
    }
    unread.remove(sequence);
    return List.of(new RecordOutcome(entry.record(), Kind.ABSENT, -1));
  }

  /** Takes in a record of the log; returns what is known by it of own records. */
  public List<RecordOutcome> read(ControlRecord record, FoldResult result, long offset) {
    boolean own =
        record.getWriter().equals(vm.value()) && record.getIncarnation().equals(incarnation);
    if (!own || result == FoldResult.DUPLICATE) {
      return List.of();
    }
    List<RecordOutcome> resolutions = new ArrayList<>();
    Iterator<Map.Entry<Long, Unread>> entries =
        unread.headMap(record.getSequence(), true).entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Long, Unread> entry = entries.next();
      ControlRecord mine = entry.getValue().record();
      if (entry.getKey() == record.getSequence()) {
        Kind fate = result == FoldResult.COUNTED ? Kind.COUNTED : Kind.NOT_COUNTED;
        resolutions.add(new RecordOutcome(mine, fate, offset));
      } else {
        resolutions.add(new RecordOutcome(mine, Kind.ABSENT, -1));
      }
      entries.remove();
    }
    return resolutions;
  }

  /**
   * Appends a record that counts for nothing, if the last own record has an unknown outcome or was
   * not read for long, as when it vanished before: reading it tells what became of those before.
   * Called only while the log can be read.
   */
  public void settle(DecisionContext turn) {
    if (unread.isEmpty() || !rested(turn)) {
      return;
    }
    boolean unknown = unread.lastEntry().getValue().unknown();
    Duration wait = unknown ? BARRIER_INTERVAL : LONG_UNREAD;
    if (turn.passed(lastAppendNanos, wait)) {
      append(
          ControlRecord.newBuilder().setOwnerHeartbeat(OwnerHeartbeat.getDefaultInstance()), turn);
    }
  }
}
