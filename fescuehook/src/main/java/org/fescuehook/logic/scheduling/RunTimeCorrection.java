package org.fescuehook.logic.scheduling;

/** How declared run times are corrected. */
public enum RunTimeCorrection {
  /** Not at all. */
  NONE,
  /** By the geometric mean of the organisation's ratios of run time to declared run time. */
  MEAN,
  /** By the median of these ratios. */
  MEDIAN
}
