package org.fescuehook.logic.batch;

import org.fescuehook.model.batch.BatchConfiguration;

/** The configurations of a {@link BatchCluster}, one after the other. */
final class ClusterConfiguration {

  private final BatchConfiguration first;
  private final PlacementChecks placement;
  private BatchConfiguration newest;

  ClusterConfiguration(BatchConfiguration first, PlacementChecks placement) {
    this.first = first;
    this.placement = placement;
    this.newest = first;
    placement.recordConfiguration(first, 0);
  }

  BatchConfiguration newest() {
    return newest;
  }

  void replace(BatchConfiguration newer, long nowMillis) {
    newest = newer;
    placement.recordConfiguration(newer, nowMillis);
  }

  /** Returns an API key that the first configuration declares. */
  String callerKey() {
    return first.organisations().getFirst().apiKeys().iterator().next();
  }
}
