package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.junit.jupiter.api.Test;

/** Log events of a takeover that takes long. */
class TakeoverProgressTest {

  private static final long EPOCH = 7;

  private final Takeover takeover = new Takeover(EPOCH, at(0));

  @Test
  void nothingIsLoggedInTheFirstSecond() {
    assertEquals(List.of(), logged(999));
  }

  @Test
  void thePendingStepIsLoggedOnceASecond() {
    assertEquals(List.of(EPOCH, 1000L, "the epoch of the jobs' stream"), logged(1000));
    takeover.answered(new WriterPosition(EPOCH, 0), new AppendOutcome.Stored(3), at(1100));
    assertEquals(List.of(), logged(1999));
    assertEquals(List.of(EPOCH, 2000L, "jobs, 0 records read"), logged(2000));
    takeover.read(EPOCH, page("a"), Optional.of("a"), at(2000));
    assertEquals(List.of(EPOCH, 3000L, "jobs, 1 records read"), logged(3000));
    takeover.read(EPOCH, List.of(), Optional.empty(), at(3000));
    assertEquals(List.of(EPOCH, 4000L, "executors"), logged(4000));
  }

  private static List<KeyedRecord> page(String key) {
    return List.of(new KeyedRecord(key, Optional.of(new byte[1])));
  }

  private List<Object> logged(long millis) {
    BatchContext context = at(millis);
    takeover.logProgress("executors", context);
    return context.commands().stream()
        .map(BatchCommand.Note.class::cast)
        .flatMap(note -> note.arguments().stream())
        .toList();
  }

  private static BatchContext at(long millis) {
    return new BatchContext(Duration.ofMillis(millis).toNanos(), 0);
  }
}
