package org.fescuehook.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.KeyHolder;

/** Reads the operators' configuration as the platform holds it. */
final class ConfigurationParser {

  private ConfigurationParser() {}

  /**
   * What the platform's configuration says.
   *
   * @param configuration queues and organisations
   * @param routes which calls belong to which queue
   */
  record Parsed(BatchConfiguration configuration, RouteTable routes) {}

  /**
   * Parses a configuration.
   *
   * @throws MalformedMessageException if it is not a JSON object with a version
   */
  static Parsed parse(byte[] text) throws MalformedMessageException {
    JsonNode body = WireJson.parse(text);
    if (!body.path("version").canConvertToLong()) {
      throw new MalformedMessageException("configuration without a version");
    }
    Map<String, JobQueue> queues = new HashMap<>();
    List<RouteTable.Route> routes = new ArrayList<>();
    for (JsonNode route : body.path("routes")) {
      JobQueue queue = queue(route);
      queues.put(queue.name(), queue);
      routes.add(
          new RouteTable.Route(
              route.path("host").asText(), route.path("pathPrefix").asText(), queue));
    }
    List<KeyHolder> holders = new ArrayList<>();
    for (JsonNode tenant : body.path("tenants")) {
      holders.add(holder(tenant));
    }
    BatchConfiguration configuration =
        new BatchConfiguration(body.path("version").asLong(), queues, holders);
    return new Parsed(configuration, new RouteTable(configuration, routes));
  }

  /** A route is a queue; its "service" names the pool of executors that runs its tasks. */
  private static JobQueue queue(JsonNode route) {
    return new JobQueue(
        route.path("name").asText(),
        route.path("service").asText(),
        route.path("priority").asInt(),
        route.path("maxAttempts").asInt(1),
        route.path("deadlineFactor").asDouble(1),
        route.path("targetLatencyMs").asLong(),
        route.path("public").asBoolean(),
        route.path("recommendation").isObject());
  }

  private static KeyHolder holder(JsonNode tenant) {
    Set<String> keys = new HashSet<>();
    tenant.path("apiKeys").forEach(key -> keys.add(key.asText()));
    return new KeyHolder(
        tenant.path("name").asText(), keys, tenant.path("guaranteed").path("gpu").asInt());
  }
}
