package org.fescuehook.logic.preferences;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.Durations;
import org.fescuehook.logic.ini.Key;
import org.fescuehook.logic.ini.Values;
import org.fescuehook.model.preferences.MaintenancePreferences;

/** Defines all keys of the settings of a VM that schedules batch jobs. */
final class SchedulerKeys {

  private static final double MIN_CORE_SHARE = 0.01;
  private static final double MAX_SPEED_FACTOR = 1000;
  private static final double MIN_PER_SECOND = 0.1;
  private static final double MAX_PER_SECOND = 100_000;

  static final Key<InetSocketAddress> CALLERS =
      listening("callers", "0.0.0.0:7000", "Where callers connect.");
  static final Key<InetSocketAddress> READINESS =
      listening("readiness", "0.0.0.0:7001", "Where the balancer asks whether this VM is ready.");
  static final Key<InetSocketAddress> PEERS =
      listening("peers", "10.0.0.5:7002", "Where other VMs connect; named to them as it stands.");
  static final Key<InetSocketAddress> METRICS =
      listening("metrics", "0.0.0.0:7003", "Where metrics are served, at /metrics.");
  static final Key<InetSocketAddress> STORE =
      Key.required(
          "addresses",
          "store",
          Addresses.fromPort(1),
          "10.0.0.10:7100",
          "The shared store, which keeps the jobs.");
  static final Key<Optional<InetSocketAddress>> ADVICE =
      Key.optional(
          "addresses",
          "advice",
          Addresses.orNone(1),
          Optional.empty(),
          "The service that names the executors which may run a step of a queue that asks for it.");
  static final Key<Optional<InetSocketAddress>> MACHINES =
      Key.optional(
          "addresses",
          "machines",
          Addresses.orNone(1),
          Optional.empty(),
          "The service that lists machines and takes them through maintenance.");
  static final Key<Double> PROCESSOR_SHARE =
      Key.optional(
          "processor",
          "share",
          Values.decimal(MIN_CORE_SHARE, 1),
          1.0,
          "Share of a core that this VM may use; the strongest VMs decide.");
  static final Key<Double> PROCESSOR_CORES =
      Key.optional(
          "processor",
          "cores",
          Values.decimal(MIN_CORE_SHARE, MAX_SPEED_FACTOR),
          1.0,
          "Speed of that core, in cores of usual speed.");
  static final Key<Duration> EXECUTOR_LEASE =
      Key.optional(
          "bounds",
          "executor-lease",
          Durations.from(Duration.ofSeconds(2)),
          Duration.ofSeconds(6),
          "Longest lease that an executor grants.");
  static final Key<Duration> STATUS_RETENTION =
      Key.optional(
          "bounds",
          "status-retention",
          Durations.from(Duration.ofSeconds(1)),
          Duration.ofSeconds(120),
          "How long the state of an ended job is shown.");

  static final Key<Duration> CHECKPOINT_INTERVAL =
      work("checkpoint-interval", Duration.ofMillis(500), "Work between two checkpoints.");
  static final Key<Duration> RESTORE_TIME =
      work("restore-time", Duration.ofMillis(250), "Time to go on from a checkpoint.");
  static final Key<Duration> STOP_TIME =
      work("stop-time", Duration.ofMillis(200), "Longest time that the stop of a task takes.");
  static final Key<Duration> GANG_TIMEOUT =
      Key.optional(
          "bounds",
          "gang-timeout",
          Durations.from(Duration.ofSeconds(1)),
          Duration.ofSeconds(3),
          "Time that a member of a gang waits for the others.");
  static final Key<Duration> RECLAIM_BOUND =
      work(
          "reclaim-bound",
          Duration.ofMillis(2700),
          "Time from its acceptance in which a job that a guarantee covers has begun.");

  static final Key<Duration> MAINTENANCE_TIME =
      work(
          "maintenance-time",
          MaintenancePreferences.NONE.machineTime(),
          "How long a machine is away for its maintenance.");
  static final Key<Duration> AVAILABILITY_NOTICE =
      work(
          "availability-notice",
          MaintenancePreferences.NONE.availabilityNotice(),
          "Time without work after which a long-running task counts as unavailable.");
  static final Key<Duration> CALLER_LEASE =
      work(
          "caller-lease",
          MaintenancePreferences.NONE.callerLease(),
          "Time after a call about a machine in which no other VM may make one.");
  static final Key<Double> MACHINE_CALLS =
      perSecond("machine-calls-per-second", "Most maintenance calls per second.");
  static final Key<Double> MACHINE_READS =
      perSecond("machine-reads-per-second", "Most reads of the list of machines per second.");

  static final Key<Boolean> EXECUTOR_SPEEDS =
      scheduling("executor-speeds", "Learns the speeds of executors, and uses them for placement.");
  static final Key<Boolean> RUN_TIMES =
      scheduling(
          "run-times", "Learns the durations of tasks, and uses them in place of estimates.");
  static final Key<Boolean> START_RELIABILITY =
      scheduling("start-reliability", "Starts work where it is likely to succeed.");
  static final Key<Boolean> FAIR_SHARES =
      scheduling("fair-shares", "Divides capacity among organisations by their use of it.");
  static final Key<Boolean> RESERVATIONS =
      scheduling("reservations", "Reserves capacity for gangs that do not fit yet.");
  static final Key<Boolean> BACKLOG_ADMISSION =
      scheduling(
          "backlog-admission", "Refuses submissions that would surely end too late to be of use.");
  static final Key<Boolean> MAINTENANCE_WAVES =
      scheduling("maintenance-waves", "Carries out the operators' maintenance waves.");

  /** All keys in the order in which they are documented. */
  static final List<Key<?>> ALL =
      List.of(
          SettingKeys.VM,
          SettingKeys.FAILURE_DOMAIN,
          CALLERS,
          READINESS,
          PEERS,
          METRICS,
          STORE,
          ADVICE,
          MACHINES,
          PROCESSOR_SHARE,
          PROCESSOR_CORES,
          EXECUTOR_LEASE,
          STATUS_RETENTION,
          CHECKPOINT_INTERVAL,
          RESTORE_TIME,
          STOP_TIME,
          GANG_TIMEOUT,
          RECLAIM_BOUND,
          MAINTENANCE_TIME,
          AVAILABILITY_NOTICE,
          CALLER_LEASE,
          MACHINE_CALLS,
          MACHINE_READS,
          EXECUTOR_SPEEDS,
          RUN_TIMES,
          START_RELIABILITY,
          FAIR_SHARES,
          RESERVATIONS,
          BACKLOG_ADMISSION,
          MAINTENANCE_WAVES);

  /**
   * Keys that the platform's settings fill in for maintenance waves. A value of theirs that cannot
   * be used must not keep a VM from starting, so there are no waves then.
   */
  static final List<Key<?>> MAINTENANCE =
      List.of(
          MACHINES,
          MAINTENANCE_TIME,
          AVAILABILITY_NOTICE,
          CALLER_LEASE,
          MACHINE_CALLS,
          MACHINE_READS);

  private SchedulerKeys() {}

  private static Key<Duration> work(String name, Duration fallback, String meaning) {
    return Key.optional("bounds", name, Durations.from(Duration.ZERO), fallback, meaning);
  }

  private static Key<Double> perSecond(String name, String meaning) {
    return Key.optional(
        "bounds",
        name,
        Values.decimal(MIN_PER_SECOND, MAX_PER_SECOND),
        MaintenancePreferences.NONE.callsPerSecond(),
        meaning);
  }

  private static Key<Boolean> scheduling(String name, String meaning) {
    return Key.optional("scheduling", name, Values.onOrOff(), false, meaning);
  }

  private static Key<InetSocketAddress> listening(String name, String example, String meaning) {
    return Key.required("addresses", name, Addresses.fromPort(0), example, meaning);
  }
}
