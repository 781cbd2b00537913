package org.fescuehook.logic.batch.executor;

import java.util.Locale;

/** How strongly the loss of an executor speaks against a run that was there. */
public enum CrashEvidence {
  /** Not at all: the run had not been started there, or the executor was about to leave. */
  NONE,
  /** It is not known that the executor crashed, or that it ran the task. */
  DOUBTFUL,
  /** The executor crashed after it had run the task for a while. */
  WEAK,
  /** The executor crashed soon after it had started the run, beside others. */
  STRONG,
  /** The executor crashed soon after it had started the run, which was alone there. */
  STRONG_ALONE;

  /** Returns the value of a metric's tag. */
  public String tag() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
