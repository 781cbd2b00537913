package org.fescuehook.logic.control.snapshot;

import com.google.protobuf.ByteString;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.SnapshotPart;

/**
 * Publishes snapshots: at intervals, and when the log has dropped so much that the last whole
 * snapshot lies nearer to the oldest record than to the newest.
 */
public final class SnapshotDuty {
  private static final long NONE = -1;

  private final ControlPreferences preferences;
  private final RecordWriter writer;
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private long wholeUntil = NONE;
  private long earliest;
  private long lastNanos = Long.MIN_VALUE / 2;
  private boolean timed;

  /** Creates a duty that has seen no snapshot. */
  public SnapshotDuty(ControlPreferences preferences, RecordWriter writer) {
    this.preferences = preferences;
    this.writer = writer;
  }

  /** A part that counted was read. */
  public void read(ControlRecord part, DecisionContext turn) {
    assembler
        .add(part, turn)
        .ifPresent(
            whole -> {
              wholeUntil = Math.max(wholeUntil, whole.coversUntil());
              lastNanos = turn.now();
              timed = true;
            });
  }

  /** The log said which is the oldest record that it keeps. */
  public void caughtUp(long oldest, DecisionContext turn) {
    earliest = oldest;
    if (!timed) {
      lastNanos = turn.now();
      timed = true;
    }
  }

  /** Publishes a snapshot if one is due. Implements {@code Snapshot}. */
  public void step(ControlState state, long foldedUntil, DecisionContext turn) {
    if (!due(foldedUntil, turn) || !writer.hasRoom(turn)) {
      return;
    }
    lastNanos = turn.now();
    ByteString data = state.snapshot().toByteString();
    int size = ControlLimits.SNAPSHOT_PART_BYTES;
    int parts = Math.max(1, (data.size() + size - 1) / size);
    turn.note(ControlLogEvent.SNAPSHOT_PUBLISHED, foldedUntil, data.size());
    for (int part = 0; part < parts; part++) {
      ByteString piece = data.substring(part * size, Math.min(data.size(), (part + 1) * size));
      SnapshotPart body =
          SnapshotPart.newBuilder()
              .setCoversUntil(foldedUntil)
              .setPart(part)
              .setParts(parts)
              .setData(piece)
              .build();
      writer.append(ControlRecord.newBuilder().setSnapshotPart(body), state.epoch(), turn);
    }
  }

  private boolean due(long foldedUntil, DecisionContext turn) {
    if (foldedUntil <= wholeUntil || !timed) {
      return false;
    }
    if (turn.passed(lastNanos, preferences.snapshotInterval())) {
      return true;
    }
    return nearRetention(foldedUntil) && turn.passed(lastNanos, ControlLimits.FASTEST_SNAPSHOT);
  }

  private boolean nearRetention(long foldedUntil) {
    if (earliest <= 0) {
      return false;
    }
    return wholeUntil == NONE || wholeUntil - earliest < foldedUntil - wholeUntil;
  }
}
