package org.fescuehook.model.preferences;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * All settings of a VM that schedules batch jobs.
 *
 * @param identity who it is
 * @param addresses where it listens and where the store is
 * @param processor what it has for its work
 * @param batch bounds of the decisions
 */
public record SchedulerPreferences(
    IdentityPreferences identity,
    Addresses addresses,
    ProcessorPreferences processor,
    BatchPreferences batch) {

  /**
   * Where a VM listens, and where the store is.
   *
   * @param callers where callers connect
   * @param readiness where readiness is asked for
   * @param peers where other VMs pass calls on
   * @param metrics where metrics are served
   * @param store the shared store
   * @param advice the service that names the executors that may run a step; absent if there is none
   */
  public record Addresses(
      InetSocketAddress callers,
      InetSocketAddress readiness,
      InetSocketAddress peers,
      InetSocketAddress metrics,
      InetSocketAddress store,
      Optional<InetSocketAddress> advice) {}
}
