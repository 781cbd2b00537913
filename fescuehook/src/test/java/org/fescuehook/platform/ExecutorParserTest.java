package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.junit.jupiter.api.Test;

class ExecutorParserTest {

  private static final String ENTRY =
      """
      {"service":"p","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":8,
      "state":"draining","remainingMs":2100,"coldLeftMs":0,"labels":["k","r1-3"],
      "capacity":{"cpu":64000,"memMb":262144,"gpu":8},"clockMs":5,"sequence":4}
      """;

  private static ExecutorProfile parse(String json) throws MalformedMessageException {
    return ExecutorParser.parse("i-1", json.getBytes(StandardCharsets.UTF_8));
  }

  private static void assertRejected(String part, String replacement) {
    String entry = ENTRY.replace(part, replacement);
    assertThrows(MalformedMessageException.class, () -> parse(entry), entry);
  }

  @Test
  void theLastLabelIsTheRack() throws MalformedMessageException {
    ExecutorProfile profile = parse(ENTRY);

    assertEquals(new RackId("r1-3"), profile.rack());
    assertTrue(profile.labels().contains("k"));
    assertEquals(new ResourceVector(64_000, 262_144, 8), profile.capacity());
    assertEquals(8080, profile.address().getPort());
    assertTrue(profile.leaving());
    assertEquals(2100, profile.remainingMillis());
  }

  @Test
  void theStartTimeIdentifiesTheIncarnation() throws MalformedMessageException {
    Incarnation withoutStartTime = Incarnation.ofUnknownStart(new ExecutorId("i-1"));
    assertEquals(withoutStartTime, parse(ENTRY).incarnation());

    ExecutorProfile withStartTime =
        parse(ENTRY.replace("\"slots\"", "\"born\":1786115069591,\"slots\""));
    assertEquals(
        withoutStartTime.withStart(OptionalLong.of(1_786_115_069_591L)),
        withStartTime.incarnation());
  }

  @Test
  void anEntryWithAMalformedStartTimeIsRejected() {
    assertRejected("\"slots\"", "\"born\":\"1786115069591\",\"slots\"");
    assertRejected("\"slots\"", "\"born\":1.5,\"slots\"");
    assertRejected("\"slots\"", "\"born\":null,\"slots\"");
  }

  @Test
  void anEntryWithoutAddressOrRackIsRejected() {
    assertRejected("10.128.0.9:8080", "host:1");
    assertRejected("10.128.0.9:8080", "10.0.0.1");
    assertRejected("[\"k\",\"r1-3\"]", "[]");
    assertRejected("\"labels\"", "\"other\"");
  }

  @Test
  void anEntryInAnUnknownStateIsRejected() {
    assertRejected("draining", "paused");
    assertRejected("\"draining\"", "7");
    assertRejected("\"state\"", "\"other\"");
  }

  @Test
  void fieldsAreNotConvertedToAnotherType() {
    assertRejected("64000", "\"64000\"");
    assertRejected("64000", "-1");
    assertRejected("64000", "1e30");
    assertRejected("64000", "99999999999999999999");
    assertRejected("{\"cpu\":64000,\"memMb\":262144,\"gpu\":8}", "8");
    assertRejected("\"p\"", "null");
    assertRejected("\"a\"", "[\"a\"]");
  }

  @Test
  void anEntryWithABlankIdIsRejected() {
    byte[] entry = ENTRY.getBytes(StandardCharsets.UTF_8);
    assertThrows(MalformedMessageException.class, () -> ExecutorParser.parse(" ", entry));
  }
}
