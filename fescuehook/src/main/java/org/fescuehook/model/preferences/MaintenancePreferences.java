package org.fescuehook.model.preferences;

import java.time.Duration;

/**
 * How maintenance waves are carried out.
 *
 * @param machineApi whether there is an API through which machines are listed and maintained
 * @param machineTime how long a machine is away for its maintenance
 * @param availabilityNotice how long a task of a long-running step may be away from work before it
 *     counts as unavailable
 * @param callerLease how long after a call about a machine no other process may send one about it
 * @param callsPerSecond most maintenance calls per second
 * @param readsPerSecond most reads of the list of machines per second
 */
public record MaintenancePreferences(
    boolean machineApi,
    Duration machineTime,
    Duration availabilityNotice,
    Duration callerLease,
    double callsPerSecond,
    double readsPerSecond) {

  /** Without an API, no machine is maintained. */
  public static final MaintenancePreferences NONE =
      new MaintenancePreferences(
          false, Duration.ofSeconds(2), Duration.ofMillis(5500), Duration.ofSeconds(3), 60, 60);
}
