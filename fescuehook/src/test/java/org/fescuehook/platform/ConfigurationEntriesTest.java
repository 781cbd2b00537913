package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Covers configurations that are published faster than a VM can parse them, such as one each third
 * of a second.
 */
class ConfigurationEntriesTest {

  private final ConfigurationEntries entries = new ConfigurationEntries();

  private static StreamRecord record(long offset, String key, String text) {
    return new StreamRecord(offset, key, Optional.of(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static String version(long version) {
    return "{\"version\":" + version + ",\"routes\":[],\"tenants\":[]}";
  }

  private Optional<Long> read(String... texts) {
    List<StreamRecord> records = new ArrayList<>();
    for (String text : texts) {
      records.add(record(records.size(), "config", text));
    }
    return entries.newest(records).map(parsed -> parsed.configuration().version());
  }

  @Test
  void theNewestOfSeveralConfigurationsInOneReadIsReturned() {
    assertEquals(Optional.of(9L), read(version(3), version(7), version(9)));
  }

  @Test
  void aConfigurationThatIsNotNewerIsIgnored() {
    assertEquals(Optional.of(9L), read(version(9)));
    assertEquals(Optional.empty(), read(version(9)));
    assertEquals(Optional.empty(), read(version(7)));
    assertEquals(Optional.of(11L), read(version(9), version(11)));
  }

  @Test
  void anUnreadableConfigurationIsSkipped() {
    assertEquals(Optional.of(7L), read(version(3), version(7), "{\"routes\":"));
    assertEquals(Optional.empty(), read("nothing"));
  }

  @Test
  void otherKeysAndDeletedRecordsAreIgnored() {
    List<StreamRecord> records =
        List.of(record(0, "wave/3", version(5)), new StreamRecord(1, "config", Optional.empty()));
    assertEquals(Optional.empty(), entries.newest(records));
  }
}
