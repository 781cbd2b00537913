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
 * Begins to read where older records have vanished. The fold of the same records is the same on
 * every VM, so a snapshot is right whoever wrote it; it is usable if no record after those that it
 * covers has vanished. Whether its writer still owned at its offset does not matter.
 */
public final class SnapshotLoader {

  /**
   * Where to go on.
   *
   * @param state the state that the snapshot tells
   * @param rest records to fold on top of it
   */
  public record LoadedSnapshot(ControlState state, long coversUntil, List<LogRecord> remaining) {}

  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private final List<LogRecord> buffered = new ArrayList<>();
  private long start;

  /** Begins anew with the record at an offset. */
  public void restart(long offset) {
    start = offset;
    buffered.clear();
    assembler.clear();
  }

  /**
   * Holds a record; returns the beginning if it completes a usable snapshot. Implements {@code
   * Load}.
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
