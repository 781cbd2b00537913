package org.fescuehook.logic.control.record;

import java.util.Locale;
import org.fescuehook.wire.AttemptResult;
import org.fescuehook.wire.JobResult;
import org.fescuehook.wire.StopReason;

/** Names for enum values of records, as used in documents, log lines and metric tags. */
public final class WireEnumNames {

  private WireEnumNames() {}

  /** Returns the name of the result of an attempt. */
  public static String of(AttemptResult result) {
    return slug(result.name(), "ATTEMPT_RESULT_");
  }

  /** Returns the name of the reason for stopping an attempt. */
  public static String of(StopReason reason) {
    return slug(reason.name(), "STOP_REASON_");
  }

  /** Returns the name of the result of a job. */
  public static String of(JobResult result) {
    return slug(result.name(), "JOB_RESULT_");
  }

  private static String slug(String name, String prefix) {
    return name.replace(prefix, "").toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
