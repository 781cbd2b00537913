package org.fescuehook.logic.batch.statistics;

import org.fescuehook.model.preferences.SchedulingPreferences;

/**
 * What the owner learns during one epoch.
 *
 * @param preferences the optional parts that are in use
 * @param speeds speeds of executors
 * @param runTimes durations of tasks
 * @param reliability success of starts
 * @param usage use of capacity by organisations
 */
public record SchedulingStatistics(
    SchedulingPreferences preferences,
    ExecutorSpeeds speeds,
    RunTimes runTimes,
    StartReliability reliability,
    OrganisationUsage usage) {

  /** Creates statistics that know nothing yet. */
  public static SchedulingStatistics create(SchedulingPreferences preferences) {
    ExecutorSpeeds speeds = new ExecutorSpeeds(preferences.executorSpeeds());
    return new SchedulingStatistics(
        preferences,
        speeds,
        new RunTimes(preferences.runTimes(), speeds),
        new StartReliability(preferences.startReliability()),
        new OrganisationUsage(preferences.fairShares()));
  }

  /** Creates statistics that never learn anything, so that decisions rest on estimates alone. */
  public static SchedulingStatistics none() {
    return create(SchedulingPreferences.ALL_OFF);
  }
}
