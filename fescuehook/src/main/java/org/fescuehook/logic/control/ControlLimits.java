package org.fescuehook.logic.control;

import java.time.Duration;

/** Times and sizes of the decision core that are not configurable. */
public final class ControlLimits {

  /** Maximum number of records appended by this VM whose outcome is not known yet. */
  public static final int MAX_PENDING_APPENDS = 64;

  /**
   * Maximum number of pending records that come from requests; the remaining capacity is reserved
   * for decisions of the owner.
   */
  public static final int MAX_PENDING_REQUEST_APPENDS = 32;

  /** Maximum number of requests that wait for capacity among the pending records. */
  public static final int MAX_QUEUED_REQUESTS = 1000;

  /** Time for which nothing is appended after an append failed. */
  public static final Duration APPEND_BACKOFF = Duration.ofMillis(100);

  /**
   * Longest time that a request waits until its record is read back; after that the caller is told
   * that the outcome is unknown.
   */
  public static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

  /** Longest time that one request may wait for the end of a job. */
  public static final Duration MAX_SHOW_WAIT = Duration.ofMinutes(5);

  /**
   * Time since its last successful read of the log for which a VM goes on renewing leases. Known as
   * {@code Ride} in the module SilentWorker.
   */
  public static final Duration OUTAGE_RENEWAL_LIMIT = Duration.ofHours(1);

  /**
   * Longest time for which a lagging replica of the log may not yet show a record that was
   * appended.
   */
  public static final Duration MAX_REPLICA_LAG = Duration.ofMinutes(1);

  /** Longest time that a command may take to reach a worker. */
  public static final Duration WORKER_REQUEST_TIMEOUT = Duration.ofSeconds(5);

  /** Margin added to the grant timeout for the first, short time to live of a lease. */
  public static final Duration GRANT_TTL_MARGIN = Duration.ofSeconds(3);

  /**
   * Interval between renewals of the short leases of an attempt whose commit has not been read back
   * yet.
   */
  public static final Duration UNCOMMITTED_RENEWAL_INTERVAL = Duration.ofSeconds(2);

  /** Basic interval after which an unanswered start, checkpoint or release is sent again. */
  public static final Duration COMMAND_RETRY_INTERVAL = Duration.ofMillis(500);

  /**
   * Time after which a committed gang is stopped if a member is still not known to have started.
   */
  public static final Duration START_TIMEOUT = Duration.ofSeconds(4);

  /** Shortest interval between renewals sent to one worker. */
  public static final Duration MIN_RENEWAL_INTERVAL = Duration.ofMillis(500);

  /** Time for which a worker that refused a lease gets no further request for a lease. */
  public static final Duration REFUSED_BACKOFF = Duration.ofSeconds(3);

  /** Time for which a worker that did not answer gets no request for a lease. */
  public static final Duration SILENT_BACKOFF = Duration.ofSeconds(15);

  /** Shortest interval between two plans of the scheduling policy. */
  public static final Duration MIN_PLAN_INTERVAL = Duration.ofMillis(100);

  /** Interval between two plans while no job waits and the state has not changed. */
  public static final Duration IDLE_PLAN_INTERVAL = Duration.ofSeconds(10);

  /** Longest interval between two plans while a job waits. */
  public static final Duration MAX_PLAN_INTERVAL = Duration.ofSeconds(1);

  /**
   * Delay added to the owner timeout on a VM that cannot parse the configuration in force, so that
   * a VM that can parse it claims ownership first.
   */
  public static final Duration UNREADABLE_CONFIGURATION_DELAY = Duration.ofSeconds(5);

  /** Factor of the owner timeout while the owner's peer heartbeats say that it reaches the log. */
  public static final int HEARD_OWNER_TIMEOUT_FACTOR = 10;

  /** Shortest time between publication of a raised slot share and its use. */
  public static final Duration SHARE_SETTLE_TIME = Duration.ofSeconds(2);

  /** Time without the log and without any peer after which a VM gives up its slot shares. */
  public static final Duration SHARE_ISOLATION_TIMEOUT = Duration.ofSeconds(60);

  /**
   * Time for which a VM that vanished without leaving may still use its slot shares. Longer than
   * {@link #SHARE_ISOLATION_TIMEOUT}, after which that VM itself gives them up.
   */
  public static final Duration SHARE_RETENTION = Duration.ofSeconds(75);

  /** Time for which the set of entry VMs has to stay unchanged before shares are divided again. */
  public static final Duration SHARE_DEBOUNCE_TIME = Duration.ofSeconds(1);

  /** Shortest interval between two snapshots. */
  public static final Duration MIN_SNAPSHOT_INTERVAL = Duration.ofSeconds(10);

  /** Largest part of a snapshot that one record holds, in bytes. */
  public static final int SNAPSHOT_PART_BYTES = 256 * 1024;

  /** Retry-after value of retryable refusals, in seconds. */
  public static final int RETRY_AFTER_SECONDS = 2;

  private ControlLimits() {}
}
