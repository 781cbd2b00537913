package org.fescuehook.model.preferences;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * All settings of a VM that schedules batch jobs.
 *
 * @param identity name and failure domain of the VM
 * @param addresses addresses on which it listens, and addresses of other services
 * @param processor processing power that it may use
 * @param batch limits for the scheduling of batch jobs
 * @param unusable faults of settings for maintenance waves, which are not carried out then
 */
public record SchedulerPreferences(
    IdentityPreferences identity,
    Addresses addresses,
    ProcessorPreferences processor,
    BatchPreferences batch,
    List<String> unusable) {

  /** Copies the list. */
  public SchedulerPreferences {
    unusable = List.copyOf(unusable);
  }

  /**
   * Addresses on which a VM listens, and addresses of the services that it uses.
   *
   * @param callers address to which callers connect
   * @param readiness address that answers whether the VM is ready
   * @param peers address to which other VMs forward calls
   * @param metrics address that serves metrics
   * @param store address of the shared store
   * @param advice address of the advice service, which names the executors that may run a step;
   *     absent if there is none
   * @param machines address of the machine API, which lists machines and maintains them; absent if
   *     there is none
   */
  public record Addresses(
      InetSocketAddress callers,
      InetSocketAddress readiness,
      InetSocketAddress peers,
      InetSocketAddress metrics,
      InetSocketAddress store,
      Optional<InetSocketAddress> advice,
      Optional<InetSocketAddress> machines) {}
}
