package org.fescuehook.standins.platform;

import java.util.List;
import java.util.Map;
import org.fescuehook.standins.http.Json;

/** The operators' configuration: one queue that is open to one organisation. */
public final class PlatformConfiguration {

  /** Host of the queue's calls. */
  public static final String HOST = "jobs.example";

  /** Prefix of the queue's paths. */
  public static final String PATH_PREFIX = "/jobs/";

  /** Key of the organisation that calls. */
  public static final String KEY = "key-1";

  /** Pool of the executors that run the queue's tasks. */
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
            3,
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
