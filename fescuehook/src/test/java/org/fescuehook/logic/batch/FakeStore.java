package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.ownership.OwnerCodec;
import org.fescuehook.logic.batch.ownership.OwnerRecord;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.logic.batch.store.WriterPosition;

/**
 * An in-memory store that follows the published protocol: epochs, sequence numbers, repeated
 * appends and conditional appends.
 */
final class FakeStore {

  /** Number of latest appends whose repeats get the same answer again. */
  private static final int REMEMBERED_APPENDS = 5;

  private final Map<StreamName, Stream> streams = new EnumMap<>(StreamName.class);

  FakeStore() {
    for (StreamName name : StreamName.values()) {
      streams.put(name, new Stream());
    }
  }

  /** A record with its offset. */
  record Stored(long offset, KeyedRecord record) {}

  private static final class Stream {
    private final List<Stored> records = new ArrayList<>();
    private final Map<String, Stored> newest = new LinkedHashMap<>();
    private final Map<Long, AppendOutcome> remembered = new LinkedHashMap<>();
    private long epoch = -1;
    private OptionalLong lastSequence = OptionalLong.empty();
  }

  AppendOutcome append(
      StreamName name,
      WriterPosition position,
      OptionalLong expectedEnd,
      List<KeyedRecord> records) {
    Stream stream = streams.get(name);
    if (position.epoch() < stream.epoch) {
      return new AppendOutcome.Fenced();
    }
    if (position.epoch() > stream.epoch) {
      if (expectedEnd.isPresent() && expectedEnd.getAsLong() != stream.records.size()) {
        return new AppendOutcome.Conflict(stream.records.size());
      }
      stream.epoch = position.epoch();
      stream.lastSequence = OptionalLong.empty();
      stream.remembered.clear();
    }
    if (stream.remembered.containsKey(position.sequence())) {
      return stream.remembered.get(position.sequence());
    }
    if (stream.lastSequence.isPresent()
        && position.sequence() != stream.lastSequence.getAsLong() + 1) {
      return new AppendOutcome.OutOfSequence(stream.lastSequence.getAsLong() + 1);
    }
    if (expectedEnd.isPresent() && expectedEnd.getAsLong() != stream.records.size()) {
      return new AppendOutcome.Conflict(stream.records.size());
    }
    return store(stream, position, records);
  }

  private static AppendOutcome store(
      Stream stream, WriterPosition position, List<KeyedRecord> records) {
    AppendOutcome outcome = new AppendOutcome.Stored(stream.records.size());
    for (KeyedRecord record : records) {
      Stored stored = new Stored(stream.records.size(), record);
      stream.records.add(stored);
      if (record.value().isPresent()) {
        stream.newest.put(record.key(), stored);
      } else {
        stream.newest.remove(record.key());
      }
    }
    if (!records.isEmpty()) {
      stream.lastSequence = OptionalLong.of(position.sequence());
      stream.remembered.put(position.sequence(), outcome);
      if (stream.remembered.size() > REMEMBERED_APPENDS) {
        stream.remembered.remove(stream.remembered.keySet().iterator().next());
      }
    }
    return outcome;
  }

  long end(StreamName name) {
    return streams.get(name).records.size();
  }

  /** Returns the newest record of a key. */
  Optional<Stored> newest(StreamName name, String key) {
    return Optional.ofNullable(streams.get(name).newest.get(key));
  }

  /** Returns the newest record of each key. */
  List<KeyedRecord> newest(StreamName name) {
    return streams.get(name).newest.values().stream().map(Stored::record).toList();
  }

  /** Returns the event that a VM gets when it reads the ownership stream to its end. */
  BatchEvent ownership() {
    Optional<OwnerRecord> newest =
        newest(StreamName.OWNERSHIP, OwnerCodec.KEY).map(FakeStore::decode);
    return new BatchEvent.OwnershipRead(newest, end(StreamName.OWNERSHIP));
  }

  private static OwnerRecord decode(Stored stored) {
    try {
      return OwnerCodec.decode(stored.record().value().orElseThrow(), stored.offset());
    } catch (UnreadableRecordException e) {
      throw new AssertionError(e);
    }
  }
}
