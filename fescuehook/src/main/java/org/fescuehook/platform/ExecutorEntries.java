package org.fescuehook.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * The executors' entries of the store as events. An entry that cannot be read names no executor to
 * use: what is known under its name counts as not listed, so that it gets nothing new while what
 * runs there is held. The other entries are not affected.
 */
final class ExecutorEntries {

  private ExecutorEntries() {}

  /** Returns the executors that a whole list names. */
  static List<ExecutorProfile> profiles(List<StreamRecord> records) {
    List<ExecutorProfile> profiles = new ArrayList<>();
    for (StreamRecord record : records) {
      record.value().flatMap(text -> read(record.key(), text)).ifPresent(profiles::add);
    }
    return profiles;
  }

  /** Returns what a record says; absent if its key can be no executor's name. */
  static Optional<BatchEvent> event(StreamRecord record) {
    Optional<ExecutorProfile> profile = record.value().flatMap(text -> read(record.key(), text));
    if (profile.isPresent()) {
      return Optional.of(new BatchEvent.ExecutorSeen(profile.get()));
    }
    return record.key().isBlank()
        ? Optional.empty()
        : Optional.of(new BatchEvent.ExecutorUnlisted(new ExecutorId(record.key())));
  }

  private static Optional<ExecutorProfile> read(String key, byte[] text) {
    try {
      return Optional.of(ExecutorParser.parse(key, text));
    } catch (MalformedMessageException e) {
      PlatformStore.logUnreadable(Topic.EXECUTORS, key, e);
      return Optional.empty();
    }
  }
}
