package org.fescuehook.logic.trace;

/**
 * How quickly workers act, in milliseconds.
 *
 * @param startMillis from the decision to the start of all members
 * @param releaseMillis from the end of an attempt to its resources being known as free
 * @param leaseMillis from a worker's silence to its resources being surely free
 */
public record WorkerTiming(long startMillis, long releaseMillis, long leaseMillis) {

  /** Timing where a trace states none. */
  public static final WorkerTiming DEFAULT = new WorkerTiming(300, 500, 30_000);
}
