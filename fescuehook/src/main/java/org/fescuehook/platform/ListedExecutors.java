package org.fescuehook.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * Translates reads of the executors' entries to events. Keeps the ids that were reported as listed,
 * so that entries of other ids that cannot be read are no events. Otherwise a read full of them
 * would fill the queue of the decision thread, which also holds the outcomes of orders.
 */
final class ListedExecutors {

  private final Set<ExecutorId> listed = new HashSet<>();

  /** Returns the event for the newest entries, which replace all earlier ones. */
  BatchEvent replace(List<StreamRecord> records) {
    List<ExecutorProfile> profiles = ExecutorEntries.profiles(records);
    listed.clear();
    profiles.forEach(profile -> listed.add(profile.id()));
    return new BatchEvent.ExecutorsListed(profiles);
  }

  /** Returns the events for changed entries. */
  List<BatchEvent> changes(List<StreamRecord> records) {
    List<BatchEvent> events = new ArrayList<>();
    for (StreamRecord record : records) {
      ExecutorEntries.event(record).filter(this::isChange).ifPresent(events::add);
    }
    return events;
  }

  private boolean isChange(BatchEvent event) {
    return switch (event) {
      case BatchEvent.ExecutorSeen(var profile) -> {
        listed.add(profile.id());
        yield true;
      }
      case BatchEvent.ExecutorUnlisted(var id) -> listed.remove(id);
      default -> true;
    };
  }
}
