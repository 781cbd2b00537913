package org.fescuehook.logic.control.snapshot;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.record.DecodedRecord;
import org.fescuehook.logic.control.record.RecordCodec;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.wire.ControlRecord;

/**
 * Finds a snapshot from which to continue after records were removed from the log before they were
 * read. All VMs derive the same state from the same records, so a snapshot is correct whoever wrote
 * it, even if its writer was no longer the owner at its offset. It is usable if none of the records
 * after those that it includes was removed.
 */
public final class SnapshotLoader {

  /**
   * The state from which to continue.
   *
   * @param state the state that the snapshot contains
   * @param remaining buffered records to apply to that state
   */
  public record LoadedSnapshot(ControlState state, long coversUntil, List<LogRecord> remaining) {}

  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private final List<LogRecord> buffered = new ArrayList<>();
  private long start;

  /** Starts again with the record at an offset as the oldest one. */
  public void restart(long offset) {
    start = offset;
    buffered.clear();
    assembler.clear();
  }

  /**
   * Buffers a record; returns the loaded snapshot if the record completes a usable one. Implements
   * the action {@code Load} of the module Configuration.
   */
  public Optional<LoadedSnapshot> add(LogRecord record, DecisionContext context) {
    buffered.add(record);
    if (!(RecordCodec.decode(record.data()) instanceof DecodedRecord.Known(ControlRecord known))) {
      return Optional.empty();
    }
    if (!known.hasSnapshotPart() || known.getSnapshotPart().getCoversUntil() < start) {
      return Optional.empty();
    }
    return assembler.add(known, context).map(this::load);
  }

  private LoadedSnapshot load(SnapshotAssembler.CompleteSnapshot complete) {
    List<LogRecord> remaining =
        buffered.stream().filter(record -> record.offset() >= complete.coversUntil()).toList();
    buffered.clear();
    return new LoadedSnapshot(
        ControlState.restore(complete.snapshot()), complete.coversUntil(), remaining);
  }
}
