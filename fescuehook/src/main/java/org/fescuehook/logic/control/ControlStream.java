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
    void folded(ControlRecord record, long offset, FoldResult result, DecisionContext context);
  }

  private final Listener listener;
  private final SnapshotLoader snapshotLoader = new SnapshotLoader();
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
  void read(LogRecord record, DecisionContext context) {
    if (record.offset() < nextOffset) {
      return;
    }
    if (record.offset() > nextOffset) {
      awaitSnapshot(record.offset(), context);
    }
    nextOffset = record.offset() + 1;
    if (complete) {
      fold(record, context);
      return;
    }
    Optional<SnapshotLoader.LoadedSnapshot> loaded = snapshotLoader.add(record, context);
    if (loaded.isPresent()) {
      restore(loaded.get(), context);
    }
  }

  /** Takes in that records before {@code earliest} have vanished, maybe before they were read. */
  void noteEarliest(long earliest, DecisionContext context) {
    if (earliest > nextOffset) {
      awaitSnapshot(earliest, context);
      nextOffset = earliest;
    }
  }

  private void awaitSnapshot(long earliest, DecisionContext context) {
    context.note(ControlLogEvent.RECORDS_VANISHED, nextOffset, earliest);
    context.count("fescuehook.control.records.vanished");
    complete = false;
    snapshotLoader.restart(earliest);
  }

  private void restore(SnapshotLoader.LoadedSnapshot loaded, DecisionContext context) {
    context.note(ControlLogEvent.SNAPSHOT_TAKEN, loaded.coversUntil());
    state = loaded.state();
    complete = true;
    for (LogRecord record : loaded.remaining()) {
      fold(record, context);
    }
  }

  private void fold(LogRecord record, DecisionContext context) {
    switch (RecordCodec.decode(record.data())) {
      case DecodedRecord.Known(ControlRecord known) -> foldKnown(known, record, context);
      case DecodedRecord.Newer(ControlRecord newer) -> skipNewer(newer, record, context);
      case DecodedRecord.Foreign(String detail) -> skip(record, "foreign", detail, context);
      case DecodedRecord.Corrupt(String detail) -> skip(record, "corrupt", detail, context);
    }
  }

  private void foldKnown(ControlRecord known, LogRecord record, DecisionContext context) {
    FoldResult result = state.fold(known, record.offset(), record.appendedMillis());
    if (result != FoldResult.COUNTED) {
      context.count("fescuehook.control.records.void", "result", result.name());
    }
    listener.folded(known, record.offset(), result, context);
  }

  /**
   * A decision that this version cannot fold leaves its state behind the others'. It goes on
   * folding what it knows, but never decides by that state. What needs no owner is harmless to
   * skip.
   */
  private void skipNewer(ControlRecord newer, LogRecord record, DecisionContext context) {
    skip(record, "newer", "version " + newer.getVersion(), context);
    if (state.inForce(newer)) {
      newerSeen = true;
      context.note(ControlLogEvent.NEWER_RECORD, record.offset(), newer.getVersion());
    }
  }

  private void skip(LogRecord record, String kind, String detail, DecisionContext context) {
    skipped++;
    context.note(ControlLogEvent.RECORD_SKIPPED, record.offset(), detail);
    context.count("fescuehook.control.records.skipped", "kind", kind);
  }
}
