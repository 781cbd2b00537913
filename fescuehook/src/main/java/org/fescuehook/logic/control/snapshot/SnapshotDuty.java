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
 * Publishes snapshots at intervals, and also when the log's retention has removed so many records
 * that the last complete snapshot is closer to the oldest record than to the newest.
 */
public final class SnapshotDuty {
  private static final long NONE = -1;

  private final ControlPreferences preferences;
  private final RecordWriter writer;
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private long completeUntil = NONE;
  private long earliest;
  private long intervalStartNanos = Long.MIN_VALUE / 2;
  private boolean intervalStarted;

  /** Creates a duty that has seen no snapshot. */
  public SnapshotDuty(ControlPreferences preferences, RecordWriter writer) {
    this.preferences = preferences;
    this.writer = writer;
  }

  /** Handles a snapshot part that took effect. */
  public void read(ControlRecord part, DecisionContext context) {
    assembler
        .add(part, context)
        .ifPresent(
            complete -> {
              completeUntil = Math.max(completeUntil, complete.coversUntil());
              intervalStartNanos = context.nowNanos();
              intervalStarted = true;
            });
  }

  /**
   * Handles that the end of the stream was reached, and at which offset the oldest stored record
   * is.
   */
  public void caughtUp(long oldest, DecisionContext context) {
    earliest = oldest;
    if (!intervalStarted) {
      intervalStartNanos = context.nowNanos();
      intervalStarted = true;
    }
  }

  /**
   * Publishes a snapshot if one is due. Implements the action {@code Snapshot} of the module
   * Configuration.
   */
  public void step(ControlState state, long nextOffset, DecisionContext context) {
    if (!due(nextOffset, context) || !writer.hasCapacity(context)) {
      return;
    }
    intervalStartNanos = context.nowNanos();
    ByteString data = state.snapshot().toByteString();
    int size = ControlLimits.SNAPSHOT_PART_BYTES;
    int parts = Math.max(1, (data.size() + size - 1) / size);
    context.note(ControlLogEvent.SNAPSHOT_PUBLISHED, nextOffset, data.size());
    for (int part = 0; part < parts; part++) {
      ByteString piece = data.substring(part * size, Math.min(data.size(), (part + 1) * size));
      SnapshotPart body =
          SnapshotPart.newBuilder()
              .setCoversUntil(nextOffset)
              .setPart(part)
              .setParts(parts)
              .setData(piece)
              .build();
      writer.append(ControlRecord.newBuilder().setSnapshotPart(body), state.epoch(), context);
    }
  }

  private boolean due(long nextOffset, DecisionContext context) {
    if (nextOffset <= completeUntil || !intervalStarted) {
      return false;
    }
    if (context.hasElapsed(intervalStartNanos, preferences.snapshotInterval())) {
      return true;
    }
    return nearRetentionLimit(nextOffset)
        && context.hasElapsed(intervalStartNanos, ControlLimits.MIN_SNAPSHOT_INTERVAL);
  }

  private boolean nearRetentionLimit(long nextOffset) {
    if (earliest <= 0) {
      return false;
    }
    return completeUntil == NONE || completeUntil - earliest < nextOffset - completeUntil;
  }
}
