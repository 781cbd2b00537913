package org.fescuehook.logic.control;

import org.fescuehook.model.event.NumberedEvent;

/** Log events of the decision core. */
public enum ControlLogEvent implements NumberedEvent {
  /** This VM claims ownership. */
  CLAIMING(1000, "Claiming ownership, based on epoch {}: owner {} silent"),
  /** This VM became the owner. */
  BECAME_OWNER(1001, "Owner since epoch {}, adopting {} live attempts"),
  /** Another VM became the owner. */
  OWNER_CHANGED(1002, "Owner is now {} at epoch {}"),
  /** This VM is no longer the owner. */
  LOST_OWNERSHIP(1003, "No longer owner; epoch in force is {}"),
  /** This VM released ownership. */
  RELEASED_OWNERSHIP(1004, "Ownership of epoch {} released"),
  /** The decision thread was suspended; nothing is decided until the log is read to its end. */
  WOKE_AFTER_PAUSE(
      1005, "Decision thread was paused for {} ms; reading the log to its end before deciding"),
  /** A record was not written by this system, or is corrupt. */
  RECORD_SKIPPED(1006, "Record at offset {} skipped: {}"),
  /** An owner of a newer version wrote a decision that this version does not know. */
  NEWER_RECORD(1007, "Record at offset {} of version {} is not understood; not claiming ownership"),
  /** Records were removed by the log's retention before this VM read them. */
  RECORDS_VANISHED(1008, "Records from {} to {} have vanished; waiting for a snapshot"),
  /** The state was restored from a snapshot. */
  SNAPSHOT_TAKEN(1009, "State taken from the snapshot that covers the stream until {}"),
  /** The parts of a snapshot cannot be parsed. */
  SNAPSHOT_UNUSABLE(1010, "Snapshot that covers the stream until {} is unusable: {}"),
  /** The owner publishes a snapshot. */
  SNAPSHOT_PUBLISHED(1011, "Publishing a snapshot that covers the stream until {}: {} bytes"),
  /** The log cannot be read. */
  LOG_LOST(1012, "Log unreachable; nothing new starts, leases are renewed"),
  /** The log can be read again. */
  LOG_BACK(1013, "Log reachable again after {} ms"),
  /** A configuration was put in force on this VM. */
  CONFIGURATION_IN_FORCE(1014, "Configuration {} by {} in force: {}"),
  /** A configuration in the log cannot be parsed by this version. */
  CONFIGURATION_UNREADABLE(1015, "Configuration {} cannot be read, the one before stays: {}"),
  /** An attempt was planned. */
  ATTEMPT_PLANNED(1016, "Attempt {} planned on {} by rule {}"),
  /** An attempt was committed and is being started. */
  ATTEMPT_STARTED(1017, "Attempt {} committed, starting {} members"),
  /** An attempt is being stopped. */
  ATTEMPT_STOPPING(1018, "Attempt {} is being stopped: {} {}"),
  /** An attempt ended. */
  ATTEMPT_ENDED(1019, "Attempt {} ended: {} {} {}"),
  /** A job ended. */
  JOB_ENDED(1020, "Job {} ended: {}"),
  /**
   * A lease on a worker that does not answer has expired, because no VM can have renewed it since.
   */
  SILENT_LEASE_GONE(1021, "Lease of attempt {} on silent worker {} must have expired"),
  /** A worker was quarantined and gets no work. */
  WORKER_QUARANTINED(1022, "Worker {} quarantined until {}: {}"),
  /** The shares of executors' slots were divided again. */
  SHARES_PUBLISHED(1023, "Slot shares of {} executors divided over {}"),
  /** The leases of an incomplete gang are no longer renewed, so that all of its members end. */
  GANG_ABANDONED(1024, "Leases of attempt {} are no longer renewed; worker {}: {}"),
  /** This VM renews leases in place of an owner that it does not hear. */
  RENEWING_FOR_OWNER(1025, "Log and owner {} unreachable; renewing {} attempts"),
  /** The scheduling policy threw an exception. */
  PLAN_FAILED(1026, "The scheduling policy failed, nothing new is decided: {}");

  private final int number;
  private final String format;

  ControlLogEvent(int number, String format) {
    this.number = number;
    this.format = format;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public String format() {
    return format;
  }
}
