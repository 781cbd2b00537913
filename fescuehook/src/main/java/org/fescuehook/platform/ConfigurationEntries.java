package org.fescuehook.platform;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The operators' configurations as they are read. Of several that came together only the newest is
 * parsed: one of 1,400 routes keeps a VM of a third of a core busy for longer than the third of a
 * second that operators may leave between two of them.
 */
final class ConfigurationEntries {

  private static final Logger LOGGER = LoggerFactory.getLogger(ConfigurationEntries.class);
  private static final String KEY = "config";

  private long version = Long.MIN_VALUE;

  /**
   * Returns the configuration that is to be in force now.
   *
   * @param records records of the operators' topic in the order of their offsets, in which versions
   *     rise
   * @return absent if none of them is newer than what was returned before, or none can be read
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
