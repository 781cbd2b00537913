package org.fescuehook.logic.batch.ownership;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Which executors an owner reaches, as its connections of the last seconds show.
 *
 * @param unreachable number of executors to which connections time out
 * @param reachable number of the other executors that are presumed alive
 * @param unreachableSample addresses of some of the former
 * @param reachableSample addresses of some of the latter
 */
public record ReachReport(
    int unreachable,
    int reachable,
    List<InetSocketAddress> unreachableSample,
    List<InetSocketAddress> reachableSample) {

  /** Copies the lists. */
  public ReachReport {
    unreachableSample = List.copyOf(unreachableSample);
    reachableSample = List.copyOf(reachableSample);
  }
}
