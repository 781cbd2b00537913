package org.fescuehook.logic.control;

import java.util.Optional;
import org.fescuehook.logic.control.record.DecodedRecord;
import org.fescuehook.logic.control.record.RecordCodec;
import org.fescuehook.logic.control.snapshot.SnapshotLoader;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.control.state.FoldResult;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.wire.ControlRecord;

/** Reads the control stream in order, from its first record or from a snapshot, and folds it. */
final class ControlStream {

  /** Hears of each record that was folded. */
  interface Listener {
    void folded(ControlRecord record, long offset, FoldResult result, DecisionContext turn);
  }

  private final Listener listener;
  private final SnapshotLoader beginning = new SnapshotLoader();
  private ControlState state = new ControlState();
  private long nextOffset;
  private boolean complete = true;
  private boolean newerSeen;
  private long skipped;

  ControlStream(Listener listener) {
    this.listener = listener;
  }

  ControlState state() {
    return state;
  }

  long nextOffset() {
    return nextOffset;
  }

  /** Tells whether the state holds all that the stream told; false while a snapshot is awaited. */
  boolean complete() {
    return complete;
  }

  /** Tells whether a newer version decided something that this version does not understand. */
  boolean newerSeen() {
    return newerSeen;
  }

  long skipped() {
    return skipped;
  }

  /** Takes in a record; one that was read before is ignored. Implements {@code Read}. */
  void read(LogRecord record, DecisionContext turn) {
    if (record.offset() < nextOffset) {
      return;
    }
    if (record.offset() > nextOffset) {
      lose(record.offset(), turn);
    }
    nextOffset = record.offset() + 1;
    if (complete) {
      fold(record, turn);
      return;
    }
    Optional<SnapshotLoader.LoadedSnapshot> begun = beginning.add(record, turn);
    if (begun.isPresent()) {
      begin(begun.get(), turn);
    }
  }

  /** Takes in that records before {@code earliest} have vanished, maybe before they were read. */
  void keptFrom(long earliest, DecisionContext turn) {
    if (earliest > nextOffset) {
      lose(earliest, turn);
      nextOffset = earliest;
    }
  }

  private void lose(long earliest, DecisionContext turn) {
    turn.note(ControlLogEvent.RECORDS_VANISHED, nextOffset, earliest);
    turn.count("fescuehook.control.records.vanished");
    complete = false;
    beginning.restart(earliest);
  }

  private void begin(SnapshotLoader.LoadedSnapshot begun, DecisionContext turn) {
    turn.note(ControlLogEvent.SNAPSHOT_TAKEN, begun.coversUntil());
    state = begun.state();
    complete = true;
    for (LogRecord record : begun.rest()) {
      fold(record, turn);
    }
  }

  private void fold(LogRecord record, DecisionContext turn) {
    switch (RecordCodec.decode(record.data())) {
      case DecodedRecord.Known(ControlRecord known) -> foldKnown(known, record, turn);
      case DecodedRecord.Newer(ControlRecord newer) -> takeNewer(newer, record, turn);
      case DecodedRecord.Foreign(String detail) -> skip(record, "foreign", detail, turn);
      case DecodedRecord.Corrupt(String detail) -> skip(record, "corrupt", detail, turn);
    }
  }

  private void foldKnown(ControlRecord known, LogRecord record, DecisionContext turn) {
    FoldResult result = state.fold(known, record.offset(), record.appendedMillis());
    if (result != FoldResult.COUNTED) {
      turn.count("fescuehook.control.records.void", "result", result.name());
    }
    listener.folded(known, record.offset(), result, turn);
  }

  /**
   * A decision that this version cannot fold leaves its state behind the others'. It goes on
   * folding what it knows, but never decides by that state. What needs no owner is harmless to
   * skip.
   */
  private void takeNewer(ControlRecord newer, LogRecord record, DecisionContext turn) {
    skip(record, "newer", "version " + newer.getVersion(), turn);
    if (state.inForce(newer)) {
      newerSeen = true;
      turn.note(ControlLogEvent.NEWER_RECORD, record.offset(), newer.getVersion());
    }
  }

  private void skip(LogRecord record, String kind, String detail, DecisionContext turn) {
    skipped++;
    turn.note(ControlLogEvent.RECORD_SKIPPED, record.offset(), detail);
    turn.count("fescuehook.control.records.skipped", "kind", kind);
  }
}
