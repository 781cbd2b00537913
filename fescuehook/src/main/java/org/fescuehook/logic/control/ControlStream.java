package org.fescuehook.logic.control;

import java.util.Optional;
import org.fescuehook.logic.control.record.DecodedRecord;
import org.fescuehook.logic.control.record.RecordCodec;
import org.fescuehook.logic.control.snapshot.SnapshotLoader;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.control.state.FoldResult;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.wire.ControlRecord;

/**
 * Applies the records of the control stream to the state, in the order of their offsets. It begins
 * at the first record, or at a snapshot if earlier records have been removed from the log.
 */
final class ControlStream {

  /** Is notified of each record that was applied. */
  interface Listener {
    void applied(ControlRecord record, long offset, FoldResult result, DecisionContext context);
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

  /**
   * Returns whether the state reflects all records read so far; false while the stream waits for a
   * snapshot.
   */
  boolean complete() {
    return complete;
  }

  /**
   * Returns whether an owner of a newer version wrote a decision that this version cannot apply.
   */
  boolean newerSeen() {
    return newerSeen;
  }

  long skipped() {
    return skipped;
  }

  /**
   * Reads a record; ignores one that was read before. Implements the action {@code Read} of the
   * module Ownership.
   */
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

  /**
   * Notes that the log no longer stores the records before {@code earliest}. If this VM has not
   * read all of them, it waits for a snapshot.
   */
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
    listener.applied(known, record.offset(), result, context);
  }

  /**
   * Skips a record that this version cannot apply. If it is a decision of the owner, this VM's
   * state now differs from that of VMs with a newer version; it goes on applying the records that
   * it knows, but never decides based on that state. Records that need no owner can be skipped
   * without harm.
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
