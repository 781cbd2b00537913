package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.model.fleet.FailureDomain;
import org.junit.jupiter.api.Test;

/** Guards against an evacuation, or its end, that is missed or forgotten. */
class EvacuationEntriesTest {

  private static final FailureDomain FIRST = new FailureDomain("zone-1");
  private static final FailureDomain SECOND = new FailureDomain("zone-2");

  private final EvacuationEntries entries = new EvacuationEntries();

  private static StreamRecord evacuation(long offset, FailureDomain domain, String text) {
    byte[] value = text.getBytes(StandardCharsets.UTF_8);
    return new StreamRecord(offset, "evacuate/" + domain, Optional.of(value));
  }

  private static StreamRecord end(long offset, FailureDomain domain) {
    return new StreamRecord(offset, "evacuate/" + domain, Optional.empty());
  }

  @Test
  void aFailureDomainIsEvacuatedUntilItsRecordIsRemoved() {
    entries.apply(List.of(evacuation(3, FIRST, "{}")));
    entries.apply(List.of());
    entries.apply(List.of(evacuation(4, SECOND, "{}")));
    assertEquals(Set.of(FIRST, SECOND), entries.domains());
    entries.apply(List.of(end(5, FIRST)));
    assertEquals(Set.of(SECOND), entries.domains());
  }

  /** The removal expired before it was read, so only the newest record of each key tells of it. */
  @Test
  void theNewestRecordsReplaceWhatWasKnown() {
    entries.apply(List.of(evacuation(3, FIRST, "{}")));
    entries.replace(List.of(evacuation(9, SECOND, "{}")));
    assertEquals(Set.of(SECOND), entries.domains());
    entries.replace(List.of());
    assertEquals(Set.of(), entries.domains());
  }

  /** The page holds the second evacuation, and the end of the first one is read again after it. */
  @Test
  void recordsThatAPageIncludesAlreadyChangeNothing() {
    entries.replace(List.of(evacuation(7, FIRST, "{}")));
    entries.apply(List.of(evacuation(5, FIRST, "{}"), end(6, FIRST)));
    assertEquals(Set.of(FIRST), entries.domains());
    entries.apply(List.of(evacuation(7, FIRST, "{}"), end(8, FIRST)));
    assertEquals(Set.of(), entries.domains());
  }

  @Test
  void contentThatIsUnknownOrUnreadableChangesNothing() {
    entries.apply(List.of(evacuation(1, FIRST, "{\"reason\":\"upkeep\"}")));
    entries.apply(List.of(evacuation(2, SECOND, "{\"reas")));
    assertEquals(Set.of(FIRST, SECOND), entries.domains());
  }

  @Test
  void otherKeysAndAMissingNameAreIgnored() {
    byte[] empty = "{}".getBytes(StandardCharsets.UTF_8);
    entries.apply(
        List.of(
            new StreamRecord(1, "config", Optional.of(empty)),
            new StreamRecord(2, "evacuate/", Optional.of(empty)),
            new StreamRecord(3, "evacuate/ ", Optional.of(empty)),
            new StreamRecord(4, "wave/1", Optional.empty())));
    assertEquals(Set.of(), entries.domains());
  }
}
