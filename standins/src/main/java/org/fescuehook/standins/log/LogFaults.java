package org.fescuehook.standins.log;

/**
 * Faults and limits of the log. 0 stands for no limit, delay or lost reply.
 *
 * @param refusing whether each request gets the status 503
 * @param silent whether requests get no response
 * @param delayMs milliseconds before a request takes effect
 * @param loseReplies how many of the next appends take effect although their connection is closed
 *     without a response
 * @param retainCount maximum number of records that a stream keeps
 * @param retainMs maximum age of a record that a stream keeps, in milliseconds
 * @param appendsPerSecond number of appends in a second above which further ones are delayed
 */
public record LogFaults(
    boolean refusing,
    boolean silent,
    long delayMs,
    int loseReplies,
    int retainCount,
    long retainMs,
    int appendsPerSecond) {

  /** A log without faults that keeps all records. */
  public static final LogFaults NONE = new LogFaults(false, false, 0, 0, 0, 0, 0);
}
