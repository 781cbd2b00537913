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

/** Parses the operators' configuration as the platform stores it. */
final class ConfigurationParser {

  private ConfigurationParser() {}

  /**
   * A parsed configuration.
   *
   * @param configuration the queues and organisations
   * @param routes the assignment of calls to queues
   */
  record Parsed(BatchConfiguration configuration, RouteTable routes) {}

  /**
   * Parses a configuration. An invalid configuration is rejected as a whole, so that the current
   * one stays in force.
   *
   * @throws MalformedMessageException if the version or a name is missing, or a field has another
   *     type
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

  /**
   * Returns the queue that a route describes. Its "service" names the pool of executors that run
   * the tasks.
   */
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
