package org.fescuehook.logic.batch.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RetainedRecordsTest {

  private static final Duration RETENTION = Duration.ofSeconds(120);

  private final RetainedRecords<String> records = new RetainedRecords<>(2);

  private Optional<String> forget(long atSeconds) {
    return records.forgetOne(RETENTION, Duration.ofSeconds(atSeconds).toNanos(), 0);
  }

  @Test
  void aRecordIsKeptForItsTime() {
    records.put("a", "one", 0, 0);
    assertEquals(Optional.empty(), forget(119));
    assertEquals(Optional.of("one"), records.get("a"));
    assertEquals(Optional.of("a"), forget(120));
    assertEquals(Optional.empty(), records.get("a"));
  }

  /** Without a bound callers could fill the memory of a VM within the time of retention. */
  @Test
  void theOldestOfTooManyIsForgottenSooner() {
    records.put("a", "one", 0, 0);
    records.put("b", "two", 0, 0);
    assertEquals(Optional.empty(), forget(1));
    records.put("c", "three", 0, 0);
    assertEquals(Optional.of("a"), forget(1));
    assertEquals(Optional.empty(), forget(1));
  }

  /** Else whoever renews one record again and again would keep all that are younger. */
  @Test
  void aRecordThatIsRenewedDoesNotKeepTheOthers() {
    records.put("a", "one", 0, 0);
    records.put("b", "two", 0, 0);
    records.put("a", "one", 0, Duration.ofSeconds(100).toNanos());
    assertEquals(Optional.of("b"), forget(120));
    assertEquals(Optional.empty(), forget(219));
    assertEquals(Optional.of("a"), forget(220));
  }
}
