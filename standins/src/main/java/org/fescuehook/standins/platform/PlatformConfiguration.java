package org.fescuehook.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.standins.http.Json;

/**
 * Configuration that the operators publish: queues of two services, one of which needs advice, for
 * two organisations.
 */
public final class PlatformConfiguration {

  /** Host name to which callers of the queue send their requests. */
  public static final String HOST = "jobs.example";

  /** Path prefix of the requests to the usual queue. */
  public static final String PATH_PREFIX = "/jobs/";

  /** Path prefix of the requests to the queue of urgent jobs, which has the same executors. */
  public static final String URGENT_PREFIX = "/urgent/";

  /** Path prefix of the requests to the queue of the small service. */
  public static final String SMALL_PREFIX = "/small/";

  /** Path prefix of the requests to the queue whose starts need tickets of the advice service. */
  public static final String ADVISED_PREFIX = "/advised/";

  /** Path prefix of the requests to the queue that allows one attempt more than the others. */
  public static final String RETRIED_PREFIX = "/retried/";

  /** Path prefix of the requests to the queue that allows one attempt less than the others. */
  public static final String TWO_ATTEMPTS_PREFIX = "/two-attempts/";

  /** API key of the first organisation. */
  public static final String KEY = "key-1";

  /** API key of the second organisation. */
  public static final String OTHER_KEY = "key-2";

  /** Number of failed runs of a task after which its job fails. */
  public static final int MAX_ATTEMPTS = 3;

  /** The same for the queue of {@link #RETRIED_PREFIX}. */
  public static final int MORE_ATTEMPTS = 4;

  /** The same for the queue of {@link #TWO_ATTEMPTS_PREFIX}. */
  public static final int FEWER_ATTEMPTS = 2;

  /** Name of the executor pool of the usual and the urgent queue. */
  static final String SERVICE = "pool";

  /** Name of the executor pool of the small service. */
  static final String SMALL_SERVICE = "small-pool";

  /** Objective of jobs under the first configuration. */
  private static final int TARGET_LATENCY_MILLIS = 1000;

  /** Versions increase in steps of this size; operators leave numbers out. */
  private static final int VERSION_STEP = 3;

  private PlatformConfiguration() {}

  /**
   * Returns a configuration; 0 is the number of the first one. The queues of callers and their key
   * stay. Every later configuration changes the objective, every other one has a further queue, and
   * every other one a further key.
   */
  static byte[] text(int number) {
    boolean odd = number % 2 == 1;
    int targetMillis = TARGET_LATENCY_MILLIS + number;
    List<Map<String, Object>> routes = new ArrayList<>();
    routes.add(route("queue-1", PATH_PREFIX, SERVICE, 1, targetMillis));
    routes.add(advised(route("queue-advised", ADVISED_PREFIX, SERVICE, 1, targetMillis)));
    routes.add(route("queue-0", URGENT_PREFIX, SERVICE, 0, targetMillis));
    routes.add(
        withAttempts(
            MORE_ATTEMPTS, route("queue-retried", RETRIED_PREFIX, SERVICE, 1, targetMillis)));
    routes.add(
        withAttempts(
            FEWER_ATTEMPTS,
            route("queue-two-attempts", TWO_ATTEMPTS_PREFIX, SERVICE, 1, targetMillis)));
    routes.add(route("queue-small", SMALL_PREFIX, SMALL_SERVICE, 1, targetMillis));
    if (odd) {
      routes.add(route("queue-added", "/added-" + number + "/", SERVICE, 1, targetMillis));
    }
    List<String> keys = odd || number == 0 ? List.of(KEY) : List.of(KEY, "key-added-" + number);
    return Json.write(
        Map.of(
            "version", 1 + VERSION_STEP * number,
            "routes", routes,
            "services",
                List.of(
                    Map.of("name", SERVICE, "constraints", true),
                    Map.of("name", SMALL_SERVICE, "constraints", true)),
            "limits", Map.of(),
            "tenants",
                List.of(
                    Map.of("name", "organisation-1", "apiKeys", keys),
                    Map.of("name", "organisation-2", "apiKeys", List.of(OTHER_KEY)))));
  }

  private static Map<String, Object> withAttempts(int attempts, Map<String, Object> route) {
    Map<String, Object> fields = new HashMap<>(route);
    fields.put("maxAttempts", attempts);
    return fields;
  }

  private static Map<String, Object> advised(Map<String, Object> route) {
    Map<String, Object> fields = new HashMap<>(route);
    fields.put(
        "recommendation",
        Map.of(
            "decisionMs", AdviceStandIn.DECISION_MILLIS,
            "periodMs", AdviceStandIn.PERIOD_MILLIS,
            "validityMs", AdviceStandIn.VALIDITY_MILLIS));
    return fields;
  }

  private static Map<String, Object> route(
      String name, String prefix, String service, int priority, int targetMillis) {
    return Map.of(
        "name", name,
        "host", HOST,
        "pathPrefix", prefix,
        "service", service,
        "priority", priority,
        "maxAttempts", MAX_ATTEMPTS,
        "deadlineFactor", 3.0,
        "targetLatencyMs", targetMillis);
  }
}
