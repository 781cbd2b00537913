package org.fescuehook.logic.preferences;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniParser;
import org.fescuehook.logic.ini.IniSource;
import org.fescuehook.model.preferences.BatchPreferences;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.model.preferences.MaintenancePreferences;
import org.fescuehook.model.preferences.ProcessorPreferences;
import org.fescuehook.model.preferences.SchedulerPreferences;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.fescuehook.model.preferences.WorkPreferences;

/** Parses the settings of a VM that schedules batch jobs; reports all faults at once. */
public final class SchedulerSettingsParser {

  /** Creates a parser. */
  public SchedulerSettingsParser() {}

  /**
   * Parses a settings file. If a value for maintenance waves cannot be used, there is no machine
   * API.
   *
   * @throws FaultyInputException if there are any faults
   */
  public SchedulerPreferences parse(IniSource source) throws FaultyInputException {
    SettingsValues values =
        new SettingsValues(
            SchedulerKeys.ALL, source.file(), new IniParser().parse(List.of(source)));
    List<Fault> unusable =
        values.faults().stream().filter(SchedulerSettingsParser::concernsMaintenance).toList();
    if (unusable.size() < values.faults().size()) {
      throw new FaultyInputException(values.faults());
    }
    boolean usable = unusable.isEmpty();
    return new SchedulerPreferences(
        new IdentityPreferences(values.get(SettingKeys.VM), values.get(SettingKeys.FAILURE_DOMAIN)),
        new SchedulerPreferences.Addresses(
            values.get(SchedulerKeys.CALLERS),
            values.get(SchedulerKeys.READINESS),
            values.get(SchedulerKeys.PEERS),
            values.get(SchedulerKeys.METRICS),
            values.get(SchedulerKeys.STORE),
            values.get(SchedulerKeys.ADVICE),
            usable ? values.get(SchedulerKeys.MACHINES) : Optional.empty()),
        new ProcessorPreferences(
            values.get(SchedulerKeys.PROCESSOR_SHARE), values.get(SchedulerKeys.PROCESSOR_CORES)),
        new BatchPreferences(
            values.get(SchedulerKeys.EXECUTOR_LEASE),
            values.get(SchedulerKeys.STATUS_RETENTION),
            new WorkPreferences(
                values.get(SchedulerKeys.CHECKPOINT_INTERVAL),
                values.get(SchedulerKeys.RESTORE_TIME),
                values.get(SchedulerKeys.STOP_TIME),
                values.get(SchedulerKeys.GANG_TIMEOUT),
                values.get(SchedulerKeys.RECLAIM_BOUND)),
            values.get(SchedulerKeys.ADVICE).isPresent(),
            scheduling(values),
            usable ? maintenance(values) : MaintenancePreferences.NONE),
        unusable.stream().map(Fault::message).toList());
  }

  private static boolean concernsMaintenance(Fault fault) {
    return SchedulerKeys.MAINTENANCE.stream()
        .anyMatch(
            key ->
                key.section().equals(fault.location().section())
                    && key.name().equals(fault.location().key()));
  }

  private static MaintenancePreferences maintenance(SettingsValues values) {
    boolean used =
        values.get(SchedulerKeys.MAINTENANCE_WAVES)
            && values.get(SchedulerKeys.MACHINES).isPresent();
    return new MaintenancePreferences(
        used,
        values.get(SchedulerKeys.MAINTENANCE_TIME),
        values.get(SchedulerKeys.AVAILABILITY_NOTICE),
        values.get(SchedulerKeys.CALLER_LEASE),
        values.get(SchedulerKeys.MACHINE_CALLS),
        values.get(SchedulerKeys.MACHINE_READS));
  }

  private static SchedulingPreferences scheduling(SettingsValues values) {
    return new SchedulingPreferences(
        values.get(SchedulerKeys.EXECUTOR_SPEEDS),
        values.get(SchedulerKeys.RUN_TIMES),
        values.get(SchedulerKeys.START_RELIABILITY),
        values.get(SchedulerKeys.FAIR_SHARES),
        values.get(SchedulerKeys.RESERVATIONS),
        values.get(SchedulerKeys.BACKLOG_ADMISSION),
        values.get(SchedulerKeys.MAINTENANCE_WAVES));
  }
}
