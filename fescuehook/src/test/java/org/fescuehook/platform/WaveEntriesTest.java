package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.MaintenanceWave;
import org.fescuehook.model.batch.WaveId;
import org.junit.jupiter.api.Test;

/** Guards against a wave, a change or a withdrawal that is missed, forgotten or invented. */
class WaveEntriesTest {

  private static final String TEXT =
      "{\"wave\":7,\"machines\":[\"m-1\",\"m-2\",\"m-1\"],\"deadlineS\":90.5,\"cap\":2}";

  private static final MaintenanceWave WAVE =
      new MaintenanceWave(
          new WaveId("7"),
          List.of(new MachineId("m-1"), new MachineId("m-2")),
          Duration.ofMillis(90_500),
          2);

  private final WaveEntries entries = new WaveEntries();

  private static StreamRecord record(long offset, String key, String text) {
    return new StreamRecord(offset, key, Optional.of(text.getBytes(StandardCharsets.UTF_8)));
  }

  private static StreamRecord withdrawal(long offset) {
    return new StreamRecord(offset, "wave/7", Optional.empty());
  }

  @Test
  void aWaveIsAskedForUntilItsRecordIsRemoved() {
    entries.apply(List.of(record(3, "wave/7", TEXT), record(4, "evacuate/a", "{}")));
    assertEquals(List.of(WAVE), entries.waves());
    entries.apply(List.of(withdrawal(5)));
    assertEquals(List.of(), entries.waves());
  }

  @Test
  void aNewerRecordChangesTheWave() {
    entries.apply(List.of(record(3, "wave/7", TEXT)));
    entries.apply(List.of(record(4, "wave/7", TEXT.replace("\"cap\":2", "\"cap\":5"))));
    assertEquals(5, entries.waves().getFirst().cap());
  }

  /** The withdrawal expired before it was read, so only the newest records tell of it. */
  @Test
  void theNewestRecordsReplaceWhatWasKnown() {
    entries.apply(List.of(record(3, "wave/7", TEXT)));
    entries.replace(List.of());
    assertEquals(List.of(), entries.waves());
  }

  /** The page holds the withdrawal already, and the record before it is read again. */
  @Test
  void anOlderRecordChangesNothing() {
    entries.apply(List.of(record(3, "wave/7", TEXT), withdrawal(5)));
    entries.apply(List.of(record(3, "wave/7", TEXT)));
    assertEquals(List.of(), entries.waves());
  }

  @Test
  void aRecordThatCannotBeReadChangesNothing() {
    entries.apply(List.of(record(3, "wave/7", TEXT)));
    entries.apply(
        List.of(
            record(4, "wave/7", "{"),
            record(5, "wave/7", TEXT.replace("\"cap\":2", "\"cap\":-1")),
            record(6, "wave/7", TEXT.replace("\"wave\":7", "\"wave\":8")),
            record(7, "wave/8", "{\"machines\":[1],\"deadlineS\":1,\"cap\":1}"),
            record(8, "wave/", TEXT),
            record(9, "wave/7/x", TEXT)));
    assertEquals(List.of(WAVE), entries.waves());
    entries.replace(List.of(record(4, "wave/7", "{")));
    assertEquals(List.of(WAVE), entries.waves());
  }
}
