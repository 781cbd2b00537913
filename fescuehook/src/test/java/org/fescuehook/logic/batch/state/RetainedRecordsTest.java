package org.fescuehook.logic.batch.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RetainedRecordsTest {

  private static final Duration RETENTION = Duration.ofSeconds(120);

  private final RetainedRecords<String> records = new RetainedRecords<>(2);

  private Optional<String> removeExpired(long atSeconds) {
    return records.removeOneExpired(RETENTION, Duration.ofSeconds(atSeconds).toNanos(), 0);
  }

  @Test
  void aRecordIsRemovedOnceItsRetentionHasExpired() {
    records.put("a", "one", 0, 0);
    assertEquals(Optional.empty(), removeExpired(119));
    assertEquals(Optional.of("one"), records.get("a"));
    assertEquals(Optional.of("a"), removeExpired(120));
    assertEquals(Optional.empty(), records.get("a"));
  }

  /** Without a limit, callers could fill the memory of a VM within the retention time. */
  @Test
  void theOldestRecordIsRemovedEarlyIfThereAreTooMany() {
    records.put("a", "one", 0, 0);
    records.put("b", "two", 0, 0);
    assertEquals(Optional.empty(), removeExpired(1));
    records.put("c", "three", 0, 0);
    assertEquals(Optional.of("a"), removeExpired(1));
    assertEquals(Optional.empty(), removeExpired(1));
  }

  /**
   * If its position did not change, a record renewed again and again would block all later ones.
   */
  @Test
  void aRenewedRecordDoesNotKeepTheOthersFromExpiring() {
    records.put("a", "one", 0, 0);
    records.put("b", "two", 0, 0);
    records.put("a", "one", 0, Duration.ofSeconds(100).toNanos());
    assertEquals(Optional.of("b"), removeExpired(120));
    assertEquals(Optional.empty(), removeExpired(219));
    assertEquals(Optional.of("a"), removeExpired(220));
  }
}
