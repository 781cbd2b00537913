package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.fescuehook.model.batch.Demand;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.RackId;
import org.junit.jupiter.api.Test;

class ExecutorParserTest {

  private static ExecutorProfile parse(String json) throws MalformedMessageException {
    return ExecutorParser.parse("i-1", json.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void theLastLabelIsTheRack() throws MalformedMessageException {
    ExecutorProfile profile =
        parse(
            """
            {"service":"p","address":"10.128.0.9:8080","zone":"a","state":"draining",
            "remainingMs":2100,"labels":["k","r1-3"],
            "capacity":{"cpu":64000,"memMb":262144,"gpu":8}}
            """);

    assertEquals(new RackId("r1-3"), profile.rack());
    assertTrue(profile.labels().contains("k"));
    assertEquals(new Demand(64_000, 262_144, 8), profile.capacity());
    assertEquals(8080, profile.address().getPort());
    assertTrue(profile.leaving());
    assertEquals(2100, profile.remainingMillis());
  }

  @Test
  void anEntryWithoutAddressOrRackIsRefused() {
    assertThrows(
        MalformedMessageException.class,
        () -> parse("{\"address\":\"host:1\",\"labels\":[\"r\"]}"));
    assertThrows(MalformedMessageException.class, () -> parse("{\"address\":\"10.0.0.1:1\"}"));
  }
}
