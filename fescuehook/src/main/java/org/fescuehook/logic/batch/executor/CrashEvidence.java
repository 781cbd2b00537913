package org.fescuehook.logic.batch.executor;

import java.util.Locale;

/** How strongly the loss of an executor suggests that a run on it caused a crash. */
public enum CrashEvidence {
  /** No evidence: the run had not been started there, or the executor was about to leave. */
  NONE,
  /**
   * The executor was silent until its leases had expired: it has crashed, or is cut off and runs
   * on. What it answers later, or that it is listed no more, decides between the two.
   */
  UNRESOLVED,
  /** The same, and the executor is not listed any more: it counts as crashed unless it returns. */
  GONE,
  /** The executor is lost for certain; it is unknown whether it crashed while it ran the task. */
  DOUBTFUL,
  /** The executor crashed after it had run the task for a while. */
  WEAK,
  /** The executor crashed soon after it had started the run, and other runs were there too. */
  STRONG,
  /** The executor crashed soon after it had started the run, the only one there. */
  STRONG_ALONE;

  /** Returns the value used as a metric tag. */
  public String tag() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
