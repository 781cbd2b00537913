package org.fescuehook.logic.batch.statistics;

import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchContext;

/**
 * When steps last failed under former owners, as far as a wave of failures may still go on. A wave
 * shows itself by failures of several steps, so that fewer of them prove that there was none.
 *
 * @param newestFirst monotonic times, one for each step that has failed within the duration of a
 *     wave
 */
public record FormerFailures(List<Long> newestFirst) {

  /** Copies the list. */
  public FormerFailures {
    newestFirst = List.copyOf(newestFirst);
  }

  /**
   * Converts times that former owners have stored. A time in the future counts as now, since the
   * clocks of VMs differ and may be set.
   *
   * @param millis when each step last failed, milliseconds since 1970
   */
  public static FormerFailures of(List<Long> millis, BatchContext context) {
    return new FormerFailures(
        millis.stream()
            .filter(failedMillis -> mayCount(failedMillis, context))
            .map(failedMillis -> context.nowNanos() - ageNanos(failedMillis, context))
            .sorted(Collections.reverseOrder())
            .toList());
  }

  /** Tells whether a wave that failures at a time belong to may still go on. */
  public static boolean mayCount(long failedMillis, BatchContext context) {
    return ageNanos(failedMillis, context) < FailureWave.FAULT_NANOS;
  }

  private static long ageNanos(long failedMillis, BatchContext context) {
    return TimeUnit.MILLISECONDS.toNanos(Math.max(0, context.wallMillis() - failedMillis));
  }

  /**
   * Returns from when on the owner would know of a wave of failures: when too few steps have failed
   * for as long as a wave lasts.
   */
  long waveKnownFrom(long nowNanos) {
    return newestFirst.size() < FailureWave.MIN_STEPS
        ? nowNanos
        : newestFirst.get(FailureWave.MIN_STEPS - 1) + FailureWave.FAULT_NANOS;
  }
}
