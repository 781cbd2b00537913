package org.fescuehook.standins.platform;

import java.util.List;
import java.util.Map;
import org.fescuehook.standins.http.Json;

/** Configuration that the operators publish: one queue, which one organisation may use. */
public final class PlatformConfiguration {

  /** Host name to which callers of the queue send their requests. */
  public static final String HOST = "jobs.example";

  /** Path prefix of the requests to the queue. */
  public static final String PATH_PREFIX = "/jobs/";

  /** API key of the organisation. */
  public static final String KEY = "key-1";

  /** Number of failed runs of a task after which its job fails. */
  public static final int MAX_ATTEMPTS = 3;

  /** Name of the executor pool that runs the queue's tasks. */
  static final String SERVICE = "pool";

  private PlatformConfiguration() {}

  static byte[] text() {
    Map<String, Object> route =
        Map.of(
            "name",
            "queue-1",
            "host",
            HOST,
            "pathPrefix",
            PATH_PREFIX,
            "service",
            SERVICE,
            "priority",
            1,
            "maxAttempts",
            MAX_ATTEMPTS,
            "deadlineFactor",
            3.0,
            "targetLatencyMs",
            1000);
    return Json.write(
        Map.of(
            "version", 1,
            "routes", List.of(route),
            "services", List.of(Map.of("name", SERVICE, "constraints", true)),
            "limits", Map.of(),
            "tenants", List.of(Map.of("name", "organisation-1", "apiKeys", List.of(KEY)))));
  }
}
