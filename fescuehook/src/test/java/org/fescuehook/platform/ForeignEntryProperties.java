package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.net.http.HttpResult;

/**
 * Checks that malformed entries, configurations and poll answers are rejected. Other programs may
 * write them and they may be corrupt: each field is removed, set to null or to another type, and
 * bytes are truncated or replaced.
 */
class ForeignEntryProperties {

  private static final String ENTRY =
      """
      {"service":"p","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":8,"state":"ready",
      "coldLeftMs":0,"capacity":{"cpu":64000,"memMb":262144,"gpu":8},"labels":["k","r1-3"],
      "sequence":4}
      """;

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[{"name":"q1","host":"a.example","pathPrefix":"/x/","priority":2,
      "service":"p","maxAttempts":2,"deadlineFactor":3.0,"targetLatencyMs":3000,"public":false}],
      "tenants":[{"name":"t","apiKeys":["k1"],"guaranteed":{"gpu":48}}]}
      """;

  private static final String POLL_ANSWER =
      """
      {"clockMs":482113,"active":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,7]],
      "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}
      """;

  private static final List<String> ENTRY_FIELDS =
      List.of(
          "/service",
          "/address",
          "/zone",
          "/version",
          "/slots",
          "/state",
          "/coldLeftMs",
          "/capacity",
          "/capacity/cpu",
          "/capacity/memMb",
          "/capacity/gpu",
          "/labels",
          "/sequence");

  /** Values that are invalid in each of the fields. */
  private static final List<String> INVALID_VALUES =
      List.of("null", "true", "-3", "{}", "[7]", "\" \"", "[null]", "1e300");

  @Provide
  Arbitrary<String> entryFields() {
    return Arbitraries.of(ENTRY_FIELDS);
  }

  @Provide
  Arbitrary<String> invalidValues() {
    return Arbitraries.of(INVALID_VALUES);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static ObjectNode tree(String text) throws MalformedMessageException {
    return (ObjectNode) WireJson.parse(bytes(text));
  }

  private static byte[] with(String pointer, Optional<String> value)
      throws MalformedMessageException {
    ObjectNode entry = tree(ENTRY);
    int lastSlash = pointer.lastIndexOf('/');
    ObjectNode parent = (ObjectNode) entry.at(pointer.substring(0, lastSlash));
    String field = pointer.substring(lastSlash + 1);
    if (value.isEmpty()) {
      parent.remove(field);
    } else {
      JsonNode replacement = tree("{\"v\":" + value.get() + "}").get("v");
      parent.set(field, replacement);
    }
    return WireJson.write(entry);
  }

  private static void assertRejectedAndUnlisted(byte[] entry) {
    assertThrows(MalformedMessageException.class, () -> ExecutorParser.parse("i-1", entry));
    List<StreamRecord> records =
        List.of(
            new StreamRecord(1, "i-0", Optional.of(bytes(ENTRY))),
            new StreamRecord(2, "i-1", Optional.of(entry)),
            new StreamRecord(3, "i-2", Optional.of(bytes(ENTRY))));
    List<ExecutorId> listed =
        ExecutorEntries.profiles(records).stream().map(ExecutorProfile::id).toList();
    assertEquals(List.of(new ExecutorId("i-0"), new ExecutorId("i-2")), listed);
    assertEquals(
        Optional.of(new BatchEvent.ExecutorUnlisted(new ExecutorId("i-1"))),
        ExecutorEntries.event(records.get(1)));
  }

  @Property
  void anEntryThatLacksAFieldIsRejected(@ForAll("entryFields") String field)
      throws MalformedMessageException {
    assertRejectedAndUnlisted(with(field, Optional.empty()));
  }

  @Property
  void anEntryWithAFieldOfAnotherTypeIsRejected(
      @ForAll("entryFields") String field, @ForAll("invalidValues") String value)
      throws MalformedMessageException {
    assertRejectedAndUnlisted(with(field, Optional.of(value)));
  }

  @Property
  void aTruncatedEntryIsRejected(@ForAll int at) {
    byte[] whole = bytes(ENTRY.strip());
    assertRejectedAndUnlisted(Arrays.copyOf(whole, Math.floorMod(at, whole.length)));
  }

  @Property
  void arbitraryBytesAreRejectedAsAnEntry(@ForAll byte[] entry, @ForAll String key) {
    StreamRecord record = new StreamRecord(1, key, Optional.of(entry));
    assertEquals(List.of(), ExecutorEntries.profiles(List.of(record)));
    assertEquals(key.isBlank(), ExecutorEntries.event(record).isEmpty());
  }

  @Property
  void aCorruptConfigurationIsRejectedOrReadInFull(@ForAll int at, @ForAll byte replacement) {
    byte[] corrupted = bytes(CONFIGURATION);
    corrupted[Math.floorMod(at, corrupted.length)] = replacement;
    try {
      assertEquals(1, ConfigurationParser.parse(corrupted).routes().routes().size());
    } catch (MalformedMessageException e) {
      assertTrue(!e.getMessage().isBlank());
    }
  }

  /**
   * A poll answer that cannot be parsed must count as unanswered, so that it doesn't extend the
   * executor's lease.
   */
  @Property
  void aCorruptPollAnswerIsRejectedOrReadInFull(@ForAll int at, @ForAll byte replacement) {
    byte[] corrupted = bytes(POLL_ANSWER);
    corrupted[Math.floorMod(at, corrupted.length)] = replacement;
    OrderOutcome outcome =
        ExecutorMessages.decode(ExecutorMessagesTest.POLL, new HttpResult.Answered(200, corrupted));
    if (!(outcome instanceof OrderOutcome.Polled)) {
      assertInstanceOf(OrderOutcome.Unanswered.class, outcome);
    }
  }
}
