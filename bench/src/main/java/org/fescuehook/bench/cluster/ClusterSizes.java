package org.fescuehook.bench.cluster;

import java.util.Map;

/**
 * What a cluster consists of.
 *
 * @param executors number of executors
 * @param workers number of workers with 8 accelerators each
 * @param workersPerRack workers to a rack
 * @param domains failure domains, over which racks, executors and entry VMs are spread
 * @param entryHeap option of the JVM for the heap of an entry VM, as {@code -Xmx128m}
 * @param settings further keys of the entry VMs' settings, by section
 */
public record ClusterSizes(
    int executors,
    int workers,
    int workersPerRack,
    int domains,
    String entryHeap,
    Map<String, Map<String, String>> settings) {

  /** Returns a small cluster with quick leases and stops, to be tried on one machine. */
  public static ClusterSizes small() {
    return new ClusterSizes(
        3,
        8,
        4,
        2,
        "-Xmx128m",
        Map.of(
            "control", Map.of("lease-ttl", "6s", "renew-interval", "1s"),
            "membership", Map.of("list-interval", "200ms", "drain-delay", "1s")));
  }
}
