package org.fescuehook.platform;

import java.util.List;
import java.util.Optional;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.JobQueue;

/**
 * Maps a call to its queue by its host and the longest matching prefix of its path.
 *
 * @param configuration the configuration that the routes belong to
 */
public record RouteTable(BatchConfiguration configuration, List<Route> routes) {

  /** Creates a table with a copy of the list. */
  public RouteTable {
    routes = List.copyOf(routes);
  }

  /** Assigns the calls to a host whose path begins with a prefix to a queue. */
  public record Route(String host, String pathPrefix, JobQueue queue) {}

  /** Returns the route of a call; absent if none matches. */
  public Optional<Route> find(String host, String path) {
    Optional<Route> best = Optional.empty();
    for (Route route : routes) {
      boolean matches = route.host().equals(host) && path.startsWith(route.pathPrefix());
      int longest = best.map(found -> found.pathPrefix().length()).orElse(-1);
      if (matches && route.pathPrefix().length() > longest) {
        best = Optional.of(route);
      }
    }
    return best;
  }
}
