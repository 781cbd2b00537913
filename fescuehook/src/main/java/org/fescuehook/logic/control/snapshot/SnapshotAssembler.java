package org.fescuehook.logic.control.snapshot;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.ControlSnapshot;
import org.fescuehook.wire.SnapshotPart;

/** Assembles snapshots from their parts. */
public final class SnapshotAssembler {

  private record Key(String writer, String incarnation, long coversUntil, int parts) {}

  /**
   * A snapshot all parts of which were read.
   *
   * @param coversUntil offset of the first record that the snapshot does not include
   */
  public record CompleteSnapshot(long coversUntil, ControlSnapshot snapshot) {}

  private final Map<Key, TreeMap<Integer, ByteString>> partsByKey = new HashMap<>();

  /** Discards all parts. */
  public void clear() {
    partsByKey.clear();
  }

  /** Adds a part; returns the snapshot if the part completes it. */
  public Optional<CompleteSnapshot> add(ControlRecord record, DecisionContext context) {
    SnapshotPart part = record.getSnapshotPart();
    Key key =
        new Key(
            record.getWriter(), record.getIncarnation(), part.getCoversUntil(), part.getParts());
    partsByKey.keySet().removeIf(old -> old.coversUntil() < part.getCoversUntil());
    TreeMap<Integer, ByteString> parts = partsByKey.computeIfAbsent(key, k -> new TreeMap<>());
    if (part.getPart() >= part.getParts()) {
      return Optional.empty();
    }
    parts.put(part.getPart(), part.getData());
    if (parts.size() < part.getParts()) {
      return Optional.empty();
    }
    partsByKey.remove(key);
    return parse(key, ByteString.copyFrom(parts.values()), context);
  }

  private static Optional<CompleteSnapshot> parse(
      Key key, ByteString data, DecisionContext context) {
    try {
      return Optional.of(new CompleteSnapshot(key.coversUntil(), ControlSnapshot.parseFrom(data)));
    } catch (InvalidProtocolBufferException e) {
      context.note(ControlLogEvent.SNAPSHOT_UNUSABLE, key.coversUntil(), e.getMessage());
      context.count("fescuehook.control.snapshots.unusable");
      return Optional.empty();
    }
  }
}
