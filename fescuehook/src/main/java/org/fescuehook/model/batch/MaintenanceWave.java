package org.fescuehook.model.batch;

import java.time.Duration;
import java.util.List;

/**
 * Machines that operators want to be taken through maintenance.
 *
 * @param machines the machines, each once
 * @param timeLimit time from the first read of the wave in which all of them should be through
 * @param cap most machines of the wave that may be away at the same time
 */
public record MaintenanceWave(WaveId id, List<MachineId> machines, Duration timeLimit, int cap) {

  /** Copies the list and removes machines that are named again. */
  public MaintenanceWave {
    machines = machines.stream().distinct().toList();
  }
}
