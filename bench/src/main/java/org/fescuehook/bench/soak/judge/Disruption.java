package org.fescuehook.bench.soak.judge;

/**
 * A time in which something was disturbed from outside.
 *
 * @param number of the VM or, for {@link Kind#EXECUTOR}, the executor or, for {@link
 *     Kind#EVACUATION}, the failure domain; {@link #ALL} for what all depend on
 * @param fromMillis monotonic time
 * @param toMillis time at which it was over: for a VM that was ended, when it listened again
 */
public record Disruption(Kind kind, int number, long fromMillis, long toMillis) {

  /** Within this time a VM has to have applied changed settings or a new configuration. */
  public static final long APPLY_MILLIS = 2000;

  /** A new configuration may be in force for so long after {@link #APPLY_MILLIS}. */
  public static final long CONFIGURED_SLACK_MILLIS = 1000;

  /** Stands for all VMs. */
  public static final int ALL = -1;

  /** What was disturbed. */
  public enum Kind {
    /** A VM was killed. */
    KILLED,
    /** A VM was asked to end, which is planned; over when its process has ended. */
    STOPPED,
    /** A VM was started again after a planned stop. */
    STARTING,
    /** A VM was told by SIGHUP that its settings have changed, which is planned. */
    RELOADED,
    /** Operators published a configuration, which is planned. */
    CONFIGURED,
    /** A VM stood still. */
    PAUSED,
    /** The way from a VM to the store was disturbed. */
    LINK,
    /** The store was slow. */
    STORE_SLOW,
    /** The store did not answer, or refused. */
    STORE_AWAY,
    /** The store lost answers. */
    STORE_LOSSY,
    /** Operators evacuated a failure domain, which is planned. */
    EVACUATION,
    /** Operators asked for a maintenance wave, which is planned. */
    MAINTENANCE,
    /** The advice service was disturbed. */
    ADVICE,
    /** Executors failed what they started. */
    RUNS_FAIL,
    /** A share of the orders to any executor had no answer and was carried out seconds late. */
    ORDERS_LATE,
    /** Another writer left odd entries among those of the executors. */
    ODD_ENTRIES,
    /** Some VMs were cut off from some executors, while other VMs reached all of them. */
    EXECUTORS_CUT,
    /** An executor crashed, or lost orders or carried them out late. */
    EXECUTOR
  }

  /** Tells whether it touches a span of time. */
  public boolean overlaps(long from, long to) {
    return fromMillis <= to && toMillis >= from;
  }
}
