package org.fescuehook.bench.soak;

import java.time.Duration;
import java.util.List;

/**
 * How large a soak is.
 *
 * @param seed all faults and jobs follow from it
 * @param faultTime how long faults are brought about
 * @param vms scheduler VMs
 * @param executors executors of four tasks each, without those of a second service
 * @param plan what kind of faults
 */
public record SoakSizes(long seed, Duration faultTime, int vms, int executors, Plan plan) {

  /** A kind of plan of faults. */
  public enum Plan {
    /** All kinds of faults at any time. */
    MIXED,
    /** Waves of cancels with restarts in series, and quiet times between them. */
    CANCELS,
    /** Few faults, and two services, one of which is full all the time. */
    SERVICES,
    /** Planned work only: stops, SIGHUP and configurations, in series and overlapping. */
    PLANNED,
    /** Odd entries among those of the executors every few seconds, and few other faults. */
    ODD_ENTRIES,
    /** Long cuts between some VMs and some executors only. */
    PARTIAL_PARTITION,
    /** Owners lost or VMs restarted in series, and a long calm stretch with few jobs after that. */
    CALM_AFTER_OWNERS,
    /**
     * Executors that fail all runs for seconds, and a long calm stretch with few jobs after that.
     */
    CALM_AFTER_FAILURES
  }

  /** The part of a second service is smaller than the one that is kept free for urgent work. */
  private static final int EXECUTORS_PER_SMALL = 6;

  /** What the users' deployment switches on. */
  private static final List<String> AS_DEPLOYED =
      List.of(
          "executor-speeds = on",
          "run-times = on",
          "start-reliability = on",
          "fair-shares = on",
          "reservations = off",
          "backlog-admission = on");

  private static final long JOB_INTERVAL_MILLIS = 250;

  /** Calm jobs use about a third of the executors at this interval, divided by their number. */
  private static final long CALM_INTERVAL_EXECUTOR_MILLIS = 16_000;

  private static final long LEAST_CALM_INTERVAL_MILLIS = 400;

  /** Small tasks have to reach each executor while it fails. */
  private static final long FAILURES_INTERVAL_MILLIS = 200;

  private static final int LEAST_SECONDS = 10;
  private static final int MOST_SECONDS = 3600;
  private static final int LEAST_VMS = 2;
  private static final int MOST_VMS = 40;
  private static final int MOST_EXECUTORS = 250;

  /**
   * Checks the sizes.
   *
   * @throws IllegalArgumentException if one of them is out of its range, which it names
   */
  public SoakSizes {
    checkRange("--seconds", faultTime.toSeconds(), LEAST_SECONDS, MOST_SECONDS);
    checkRange("--vms", vms, LEAST_VMS, MOST_VMS);
    checkRange("--executors", executors, 1, MOST_EXECUTORS);
  }

  /**
   * Returns how many executors a second service has; 0 if there is none. Only with one of them the
   * executors of both have accelerators.
   */
  int smallExecutors() {
    return switch (plan) {
      case SERVICES -> Math.max(1, executors / EXECUTORS_PER_SMALL);
      case CALM_AFTER_OWNERS, CALM_AFTER_FAILURES -> 1;
      case MIXED, CANCELS, PLANNED, ODD_ENTRIES, PARTIAL_PARTITION -> 0;
    };
  }

  /**
   * Returns settings of scheduling beside those of all plans. Older plans leave them at their
   * defaults, so that their seeds stay comparable.
   */
  List<String> scheduling() {
    return switch (plan) {
      case CALM_AFTER_OWNERS, CALM_AFTER_FAILURES -> AS_DEPLOYED;
      case MIXED, CANCELS, SERVICES, PLANNED, ODD_ENTRIES, PARTIAL_PARTITION -> List.of();
    };
  }

  /** Returns the time from one job that is handed in to the next one. */
  long jobIntervalMillis() {
    return switch (plan) {
      case CALM_AFTER_OWNERS ->
          Math.max(LEAST_CALM_INTERVAL_MILLIS, CALM_INTERVAL_EXECUTOR_MILLIS / executors);
      case CALM_AFTER_FAILURES -> FAILURES_INTERVAL_MILLIS;
      case MIXED, CANCELS, SERVICES, PLANNED, ODD_ENTRIES, PARTIAL_PARTITION -> JOB_INTERVAL_MILLIS;
    };
  }

  /** Sizes of a run of mixed faults. */
  public SoakSizes(long seed, Duration faultTime, int vms, int executors) {
    this(seed, faultTime, vms, executors, Plan.MIXED);
  }

  private static void checkRange(String option, long value, long least, long most) {
    if (value < least || value > most) {
      throw new IllegalArgumentException(
          option + " is " + value + ", not from " + least + " to " + most);
    }
  }
}
