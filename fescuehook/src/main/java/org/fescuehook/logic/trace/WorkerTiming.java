package org.fescuehook.logic.trace;

/**
 * Delays of the workers in a replay, in milliseconds.
 *
 * @param startMillis time from the decision to start an attempt to the start of all its members
 * @param releaseMillis time from the end of an attempt until its resources are known to be free
 * @param leaseMillis time from a worker's last response until its leases have certainly expired and
 *     its resources are free
 */
public record WorkerTiming(long startMillis, long releaseMillis, long leaseMillis) {

  /** Timing that applies if a trace states none. */
  public static final WorkerTiming DEFAULT = new WorkerTiming(300, 500, 30_000);
}
