package org.fescuehook.standins.log;

/**
 * Faults and limits of the log; 0 stands for none.
 *
 * @param refusing each call is answered by 503
 * @param silent no call is answered
 * @param delayMs milliseconds before a call takes effect
 * @param loseReplies how many of the next appends take effect but get no answer: their connection
 *     is closed
 * @param retainCount how many records a stream keeps
 * @param retainMs how many milliseconds a stream keeps a record
 * @param appendsPerSecond rate above which appends queue
 */
public record LogFaults(
    boolean refusing,
    boolean silent,
    long delayMs,
    int loseReplies,
    int retainCount,
    long retainMs,
    int appendsPerSecond) {

  /** A log that works and keeps all. */
  public static final LogFaults NONE = new LogFaults(false, false, 0, 0, 0, 0, 0);
}
