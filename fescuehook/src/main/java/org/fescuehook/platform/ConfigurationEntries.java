package org.fescuehook.platform;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Selects the configuration to put in force from the records that are read. Of several read at
 * once, only the newest is parsed: parsing 1,400 routes takes a VM with a third of a core longer
 * than a third of a second, and operators may publish configurations at that interval.
 */
final class ConfigurationEntries {

  private static final Logger LOGGER = LoggerFactory.getLogger(ConfigurationEntries.class);
  private static final String KEY = "config";

  private long version = Long.MIN_VALUE;

  /**
   * Returns the configuration to put in force.
   *
   * @param records records of the operators' topic in the order of their offsets, in which versions
   *     rise
   * @return absent if no record holds a readable configuration that is newer than the last one
   *     returned
   */
  Optional<ConfigurationParser.Parsed> newest(List<StreamRecord> records) {
    List<byte[]> texts =
        records.stream()
            .filter(record -> record.key().equals(KEY))
            .flatMap(record -> record.value().stream())
            .toList();
    for (int i = texts.size() - 1; i >= 0; i--) {
      Optional<ConfigurationParser.Parsed> parsed = read(texts.get(i));
      if (parsed.isEmpty()) {
        continue;
      }
      if (i > 0) {
        EventLog.info(LOGGER, PlatformEvent.CONFIGURATIONS_SKIPPED, i, version(parsed.get()));
      }
      return parsed.filter(this::isNewer);
    }
    return Optional.empty();
  }

  private static Optional<ConfigurationParser.Parsed> read(byte[] text) {
    try {
      return Optional.of(ConfigurationParser.parse(text));
    } catch (MalformedMessageException e) {
      PlatformStore.logUnreadable(Topic.OPERATORS, KEY, e);
      return Optional.empty();
    }
  }

  private boolean isNewer(ConfigurationParser.Parsed parsed) {
    boolean newer = version(parsed) > version;
    version = Math.max(version, version(parsed));
    return newer;
  }

  private static long version(ConfigurationParser.Parsed parsed) {
    return parsed.configuration().version();
  }
}
