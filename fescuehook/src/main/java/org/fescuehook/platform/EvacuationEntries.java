package org.fescuehook.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.model.fleet.FailureDomain;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The failure domains that are evacuated according to the operators' records. A failure domain is
 * named by the key of its record and is evacuated until that record is removed; the record's
 * content has no meaning.
 */
final class EvacuationEntries {

  private static final Logger LOGGER = LoggerFactory.getLogger(EvacuationEntries.class);
  private static final String KEY_PREFIX = "evacuate/";

  /** The evacuated failure domains with the offsets of their records. */
  private final Map<FailureDomain, Long> offsets = new HashMap<>();

  /** Replaces all that is known by the newest record of each key. */
  void replace(List<StreamRecord> newest) {
    offsets.clear();
    apply(newest);
  }

  /** Applies records in the order of their offsets. */
  void apply(List<StreamRecord> records) {
    for (StreamRecord record : records) {
      domain(record.key()).ifPresent(domain -> apply(domain, record));
    }
  }

  /** Returns the evacuated failure domains. */
  Set<FailureDomain> domains() {
    return Set.copyOf(offsets.keySet());
  }

  private static Optional<FailureDomain> domain(String key) {
    if (!key.startsWith(KEY_PREFIX)) {
      return Optional.empty();
    }
    String name = key.substring(KEY_PREFIX.length());
    if (name.isBlank()) {
      PlatformStore.logUnreadable(
          Topic.OPERATORS, key, new MalformedMessageException("no failure domain is named"));
      return Optional.empty();
    }
    return Optional.of(new FailureDomain(name));
  }

  private void apply(FailureDomain domain, StreamRecord record) {
    // The pages of newest records are no snapshot: records that they include already may follow.
    Long known = offsets.get(domain);
    if (known != null && known >= record.offset()) {
      return;
    }
    if (record.value().isEmpty()) {
      offsets.remove(domain);
      return;
    }
    checkContent(domain, record);
    offsets.put(domain, record.offset());
  }

  private static void checkContent(FailureDomain domain, StreamRecord record) {
    try {
      String fields =
          WireJson.parse(record.value().orElseThrow()).properties().stream()
              .map(Map.Entry::getKey)
              .collect(Collectors.joining(", "));
      if (!fields.isEmpty()) {
        EventLog.info(LOGGER, PlatformEvent.FIELDS_IGNORED, domain, fields);
      }
    } catch (MalformedMessageException e) {
      PlatformStore.logUnreadable(Topic.OPERATORS, record.key(), e);
    }
  }
}
