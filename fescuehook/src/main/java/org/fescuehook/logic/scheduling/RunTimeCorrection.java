package org.fescuehook.logic.scheduling;

/** Method by which declared run times are corrected. */
public enum RunTimeCorrection {
  /** No correction. */
  NONE,
  /**
   * Multiplies by the geometric mean of the organisation's ratios of actual to declared run time.
   */
  MEAN,
  /** Multiplies by the median of the organisation's ratios of actual to declared run time. */
  MEDIAN
}
