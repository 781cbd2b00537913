package org.fescuehook.logic.batch.executor;

import java.util.Locale;

/** How strongly the loss of an executor suggests that a run on it caused a crash. */
public enum CrashEvidence {
  /** No evidence: the run had not been started there, or the executor was about to leave. */
  NONE,
  /** It is unknown whether the executor crashed, or whether it ran the task. */
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
