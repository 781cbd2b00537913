package org.fescuehook.logic.control;

import org.fescuehook.model.event.NumberedEvent;

/** Log lines of the decision core. */
public enum ControlLogEvent implements NumberedEvent {
  /** This VM asks for ownership. */
  CLAIMING(1000, "Claiming ownership, based on epoch {}: owner {} silent"),
  /** This VM decides from now on. */
  BECAME_OWNER(1001, "Owner since epoch {}, adopting {} live attempts"),
  /** Another VM decides from now on. */
  OWNER_CHANGED(1002, "Owner is now {} at epoch {}"),
  /** This VM no longer decides. */
  LOST_OWNERSHIP(1003, "No longer owner; epoch in force is {}"),
  /** This VM gave ownership up. */
  RELEASED_OWNERSHIP(1004, "Ownership of epoch {} released"),
  /** The thread stood still; nothing is decided until the log is read to its end. */
  WOKE_AFTER_PAUSE(1005, "Paused for {} ms; reading before deciding"),
  /** A record is not of this system or damaged. */
  RECORD_SKIPPED(1006, "Record at offset {} skipped: {}"),
  /** A newer version decides by records that this version does not know. */
  NEWER_RECORD(1007, "Record at offset {} of version {} is not understood; not claiming ownership"),
  /** Records vanished before this VM read them. */
  RECORDS_VANISHED(1008, "Records from {} to {} have vanished; waiting for a snapshot"),
  /** The state was taken from a snapshot. */
  SNAPSHOT_TAKEN(1009, "State taken from the snapshot that covers the stream until {}"),
  /** A snapshot does not hold together. */
  SNAPSHOT_UNUSABLE(1010, "Snapshot that covers the stream until {} is unusable: {}"),
  /** The owner publishes a snapshot. */
  SNAPSHOT_PUBLISHED(1011, "Publishing a snapshot that covers the stream until {}: {} bytes"),
  /** The log cannot be read. */
  LOG_LOST(1012, "Log unreachable; nothing new starts, leases are renewed"),
  /** The log can be read again. */
  LOG_BACK(1013, "Log reachable again after {} ms"),
  /** A configuration is in force. */
  CONFIGURATION_IN_FORCE(1014, "Configuration {} by {} in force: {}"),
  /** A configuration in the log cannot be parsed by this version. */
  CONFIGURATION_UNREADABLE(1015, "Configuration {} cannot be read, the one before stays: {}"),
  /** An attempt was planned. */
  ATTEMPT_PLANNED(1016, "Attempt {} planned on {} by rule {}"),
  /** An attempt is committed and started. */
  ATTEMPT_STARTED(1017, "Attempt {} committed, starting {} members"),
  /** An attempt is being stopped. */
  ATTEMPT_STOPPING(1018, "Attempt {} is being stopped: {} {}"),
  /** An attempt ended. */
  ATTEMPT_ENDED(1019, "Attempt {} ended: {} {} {}"),
  /** A job ended. */
  JOB_ENDED(1020, "Job {} ended: {}"),
  /** A lease of a silent worker is taken as gone because no renewal can still hold it. */
  SILENT_LEASE_GONE(1021, "Lease of attempt {} on silent worker {} can no longer be held"),
  /** A worker gets no work. */
  WORKER_QUARANTINED(1022, "Worker {} quarantined until {}: {}"),
  /** Shares of executors' slots were divided anew. */
  SHARES_PUBLISHED(1023, "Slot shares of {} executors divided over {}"),
  /** Leases of a gang are renewed no longer, so that it ends as a whole. */
  GANG_ABANDONED(1024, "Attempt {} is renewed no longer: member on {} {}"),
  /** This VM renews for an owner that it does not hear. */
  RENEWING_FOR_OWNER(1025, "Log and owner {} unreachable; renewing {} attempts"),
  /** The scheduling policy failed. */
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
