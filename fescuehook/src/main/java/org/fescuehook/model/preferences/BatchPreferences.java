package org.fescuehook.model.preferences;

import java.time.Duration;

/**
 * Limits for the scheduling of batch jobs, as agreed with the operators of the executors.
 *
 * @param executorLease longest lease that an executor grants
 * @param statusRetention time for which the state of an ended job remains available
 * @param work timing of tasks on the executors
 * @param adviceAvailable whether there is an advice service, which names the executors that may run
 *     a step
 * @param scheduling the optional parts that are in use
 * @param maintenance how maintenance waves are carried out
 */
public record BatchPreferences(
    Duration executorLease,
    Duration statusRetention,
    WorkPreferences work,
    boolean adviceAvailable,
    SchedulingPreferences scheduling,
    MaintenancePreferences maintenance) {

  /** Creates preferences without maintenance. */
  public BatchPreferences(
      Duration executorLease,
      Duration statusRetention,
      WorkPreferences work,
      boolean adviceAvailable,
      SchedulingPreferences scheduling) {
    this(
        executorLease,
        statusRetention,
        work,
        adviceAvailable,
        scheduling,
        MaintenancePreferences.NONE);
  }

  /** Creates preferences without optional parts. */
  public BatchPreferences(
      Duration executorLease,
      Duration statusRetention,
      WorkPreferences work,
      boolean adviceAvailable) {
    this(
        executorLease,
        statusRetention,
        work,
        adviceAvailable,
        SchedulingPreferences.ALL_OFF,
        MaintenancePreferences.NONE);
  }
}
