package org.fescuehook.model.preferences;

/**
 * The optional parts of the scheduling of batch jobs. A part that is off has no effect on any
 * decision.
 *
 * @param executorSpeeds whether the speeds of executors are learned and used for placement
 * @param runTimes whether the durations of tasks are learned and used in place of estimates
 * @param startReliability whether starts avoid executors on which runs are likely to fail
 * @param fairShares whether capacity is divided among organisations by their use of it
 * @param reservations whether capacity is reserved for gangs that do not fit yet
 * @param backlogAdmission whether submissions are refused that the backlog makes useless
 * @param maintenanceWaves whether operators' maintenance waves are carried out
 */
public record SchedulingPreferences(
    boolean executorSpeeds,
    boolean runTimes,
    boolean startReliability,
    boolean fairShares,
    boolean reservations,
    boolean backlogAdmission,
    boolean maintenanceWaves) {

  /** No optional part is in use. */
  public static final SchedulingPreferences ALL_OFF =
      new SchedulingPreferences(false, false, false, false, false, false, false);

  /** All optional parts are in use. */
  public static final SchedulingPreferences ALL_ON =
      new SchedulingPreferences(true, true, true, true, true, true, true);
}
