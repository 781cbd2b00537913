package org.fescuehook.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * Translates the executors' entries in the store to profiles and events. An executor whose entry
 * cannot be read counts as not listed: it gets no new runs, and its current runs continue. Other
 * entries are not affected.
 */
final class ExecutorEntries {

  private ExecutorEntries() {}

  /** Returns the profiles of all executors with a readable entry. */
  static List<ExecutorProfile> profiles(List<StreamRecord> records) {
    List<ExecutorProfile> profiles = new ArrayList<>();
    for (StreamRecord record : records) {
      record.value().flatMap(text -> read(record.key(), text)).ifPresent(profiles::add);
    }
    return profiles;
  }

  /** Returns the event for a changed entry; absent if its key is blank and thus no executor id. */
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
