package org.fescuehook.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchOrganisation;
import org.fescuehook.model.batch.JobQueue;

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
   * Parses a configuration. One with a fault is refused as a whole, so that the one in force stays.
   *
   * @throws MalformedMessageException if it lacks a version or a name, or a field has another type
   */
  static Parsed parse(byte[] text) throws MalformedMessageException {
    WireFields body = new WireFields("configuration", WireJson.parse(text));
    long version = body.number("version");
    Map<String, JobQueue> queues = new HashMap<>();
    List<RouteTable.Route> routes = new ArrayList<>();
    for (WireFields route : body.objects("routes")) {
      JobQueue queue = queue(route);
      queues.put(queue.name(), queue);
      routes.add(new RouteTable.Route(route.text("host"), route.text("pathPrefix"), queue));
    }
    List<BatchOrganisation> organisations = new ArrayList<>();
    for (WireFields tenant : body.objects("tenants")) {
      organisations.add(organisation(tenant));
    }
    BatchConfiguration configuration = new BatchConfiguration(version, queues, organisations);
    return new Parsed(configuration, new RouteTable(configuration, routes));
  }

  /** A route is a queue; its "service" names the pool of executors that runs its tasks. */
  private static JobQueue queue(WireFields route) throws MalformedMessageException {
    return new JobQueue(
        route.text("name"),
        route.text("service"),
        route.has("priority") ? route.count("priority") : 0,
        route.has("maxAttempts") ? route.count("maxAttempts") : 1,
        route.has("deadlineFactor") ? route.positive("deadlineFactor") : 1,
        route.has("targetLatencyMs") ? route.millis("targetLatencyMs") : 0,
        route.flag("public"),
        route.has("recommendation"));
  }

  private static BatchOrganisation organisation(WireFields tenant)
      throws MalformedMessageException {
    Set<String> keys = new HashSet<>(tenant.has("apiKeys") ? tenant.texts("apiKeys") : List.of());
    Optional<WireFields> guaranteed = tenant.innerIfPresent("guaranteed");
    int accelerators =
        guaranteed.isPresent() && guaranteed.get().has("gpu") ? guaranteed.get().count("gpu") : 0;
    return new BatchOrganisation(tenant.text("name"), keys, accelerators);
  }
}
