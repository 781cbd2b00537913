package org.fescuehook.logic.control;

import java.time.Duration;

/** Times and sizes of the decision core that are no settings. */
public final class ControlLimits {

  /** Own records whose outcome is not known yet, at most. */
  public static final int MAX_PENDING_APPENDS = 64;

  /** Unread records that requests of callers may take up; the rest is left for decisions. */
  public static final int MAX_PENDING_REQUEST_APPENDS = 32;

  /** Requests that wait for room among the unread records, at most. */
  public static final int MAX_QUEUED_REQUESTS = 1000;

  /** Time without appends after one failed. */
  public static final Duration APPEND_BACKOFF = Duration.ofMillis(100);

  /** Longest wait of a request for its record; its outcome is unknown to the caller after that. */
  public static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

  /** Longest wait for the end of a job that one request may ask for. */
  public static final Duration MAX_SHOW_WAIT = Duration.ofMinutes(5);

  /** Time without a successful read of the log for which a VM goes on renewing leases. */
  public static final Duration OUTAGE_RENEWAL_LIMIT = Duration.ofHours(1);

  /** Longest time for which a replica of the log may hide a record. */
  public static final Duration MAX_REPLICA_LAG = Duration.ofMinutes(1);

  /** Longest time that a command to a worker is on its way. */
  public static final Duration WORKER_REQUEST_TIMEOUT = Duration.ofSeconds(5);

  /** Added to the grant timeout for the first, short time of a lease. */
  public static final Duration GRANT_TTL_MARGIN = Duration.ofSeconds(3);

  /** Interval between renewals of the short leases of an attempt whose commit is not read yet. */
  public static final Duration UNCOMMITTED_RENEWAL_INTERVAL = Duration.ofSeconds(2);

  /** Interval between repetitions of a start, checkpoint or release that was not answered. */
  public static final Duration COMMAND_RETRY_INTERVAL = Duration.ofMillis(500);

  /** Time after which a committed gang with a member that was not seen started is stopped. */
  public static final Duration START_TIMEOUT = Duration.ofSeconds(4);

  /** Shortest interval between renewals at one worker. */
  public static final Duration MIN_RENEWAL_INTERVAL = Duration.ofMillis(500);

  /** Time for which a worker that refused a lease gets no further request for one. */
  public static final Duration REFUSED_BACKOFF = Duration.ofSeconds(3);

  /** Time for which a worker that gave no answer gets no request for a lease. */
  public static final Duration SILENT_BACKOFF = Duration.ofSeconds(15);

  /** Shortest interval between two plans of the scheduling policy. */
  public static final Duration MIN_PLAN_INTERVAL = Duration.ofMillis(100);

  /** Interval between two plans while no job waits and nothing changed. */
  public static final Duration IDLE_PLAN_INTERVAL = Duration.ofSeconds(10);

  /** Longest interval between two plans while a job waits. */
  public static final Duration MAX_PLAN_INTERVAL = Duration.ofSeconds(1);

  /** Added to the owner's timeout for a VM that cannot read the configuration in force. */
  public static final Duration UNREADABLE_CONFIGURATION_DELAY = Duration.ofSeconds(5);

  /** Multiple of the owner's timeout while the owner's peer heartbeats say that it has the log. */
  public static final int HEARD_OWNER_TIMEOUT_FACTOR = 10;

  /** Shortest time after which a raised slot share is used. */
  public static final Duration SHARE_SETTLE_TIME = Duration.ofSeconds(2);

  /** Time without log and peers after which a VM gives its slot shares up. */
  public static final Duration SHARE_ISOLATION_TIMEOUT = Duration.ofSeconds(60);

  /** Time for which a VM that vanished may still use its slot shares. */
  public static final Duration SHARE_RETENTION = Duration.ofSeconds(75);

  /** Time for which the set of entry VMs has to stand still before shares are divided anew. */
  public static final Duration SHARE_DEBOUNCE_TIME = Duration.ofSeconds(1);

  /** Shortest interval between two snapshots. */
  public static final Duration MIN_SNAPSHOT_INTERVAL = Duration.ofSeconds(10);

  /** Largest piece of a snapshot in one record, in bytes. */
  public static final int SNAPSHOT_PART_BYTES = 256 * 1024;

  /** Advice in refusals that a retry can help, in seconds. */
  public static final int RETRY_AFTER_SECONDS = 2;

  private ControlLimits() {}
}
