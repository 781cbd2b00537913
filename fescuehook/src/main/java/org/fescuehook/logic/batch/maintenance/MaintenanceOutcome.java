package org.fescuehook.logic.batch.maintenance;

/** The outcome of a call that begins the maintenance of a machine. */
public sealed interface MaintenanceOutcome {

  /** The maintenance has begun now, or had begun by an earlier call for the same wave. */
  record Begun() implements MaintenanceOutcome {}

  /** Refused, and nothing was done. */
  record Refused(Reason reason) implements MaintenanceOutcome {}

  /** No answer arrived: the call may be carried out now, later or never. */
  record Unanswered(String cause) implements MaintenanceOutcome {}

  /** The call was not sent. */
  record NotSent(String cause) implements MaintenanceOutcome {}

  /** The reason for a refusal. */
  enum Reason {
    /** A call with a higher fencing token has been made. */
    FENCED,
    /** The machine is not up, or its executor is leaving. */
    BUSY,
    /** The machine is not part of the wave. */
    NOT_IN_WAVE,
    /** There is no such machine. */
    NO_SUCH_MACHINE,
    /** More calls were made than are allowed. */
    TOO_MANY_CALLS
  }

  /** Returns a short name for metrics. */
  default String tag() {
    return switch (this) {
      case Begun _ -> "begun";
      case Refused(Reason reason) -> reason.name().toLowerCase(java.util.Locale.ROOT);
      case Unanswered _ -> "unanswered";
      case NotSent _ -> "not_sent";
    };
  }
}
