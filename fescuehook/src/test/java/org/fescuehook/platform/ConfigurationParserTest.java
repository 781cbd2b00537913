package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.fescuehook.model.batch.JobQueue;
import org.junit.jupiter.api.Test;

class ConfigurationParserTest {

  private static final String TEXT =
      """
      {"version":7,"routes":[
      {"name":"q1","host":"a.example","pathPrefix":"/x/","priority":2,"service":"p","maxAttempts":2,
      "deadlineFactor":3.0,"targetLatencyMs":3000,"public":false},
      {"name":"q2","host":"a.example","pathPrefix":"/x/y/","service":"p","public":true,
      "recommendation":{"decisionMs":5}}],
      "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1,"guaranteed":{"gpu":48}}]}
      """;

  private static ConfigurationParser.Parsed parse(String text) throws MalformedMessageException {
    return ConfigurationParser.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void routesBecomeQueuesAndTenantsBecomeOrganisations() throws MalformedMessageException {
    ConfigurationParser.Parsed parsed = parse(TEXT);

    assertEquals(7, parsed.configuration().version());
    assertEquals(
        Optional.of(new JobQueue("q1", "p", 2, 2, 3.0, 3000, false, false)),
        parsed.configuration().queue("q1"));
    assertTrue(parsed.configuration().queue("q2").orElseThrow().advised());
    assertEquals("t", parsed.configuration().organisation("k2").orElseThrow().name());
    assertEquals(48, parsed.configuration().guaranteedAccelerators("t"));
    assertEquals(Optional.empty(), parsed.configuration().organisation("k3"));
  }

  @Test
  void theRouteWithTheLongestMatchingPrefixIsFound() throws MalformedMessageException {
    RouteTable routes = parse(TEXT).routes();

    assertEquals("q1", routes.find("a.example", "/x/1").orElseThrow().queue().name());
    assertEquals("q2", routes.find("a.example", "/x/y/1").orElseThrow().queue().name());
    assertEquals(Optional.empty(), routes.find("b.example", "/x/1"));
    assertEquals(Optional.empty(), routes.find("a.example", "/z/1"));
  }

  @Test
  void aConfigurationWithoutAVersionIsRejected() {
    assertThrows(MalformedMessageException.class, () -> parse("{\"routes\":[],\"tenants\":[]}"));
    assertThrows(MalformedMessageException.class, () -> parse("nothing"));
  }
}
