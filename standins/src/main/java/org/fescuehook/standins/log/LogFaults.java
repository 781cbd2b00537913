package org.fescuehook.standins.log;

import java.util.Objects;
import org.fescuehook.standins.http.Outage;
import org.jspecify.annotations.Nullable;

/**
 * Faults and limits of the log; 0 stands for none.
 *
 * @param outage whether calls are answered at all
 * @param delayMs time before a call takes effect, in milliseconds
 * @param loseReplies how many of the next appends take effect but have their connection closed
 *     instead of an answer
 * @param retainCount how many records a stream keeps
 * @param retainMs how long a stream keeps a record, in milliseconds
 * @param appendsPerSecond rate above which appends queue
 */
public record LogFaults(
    Outage outage,
    long delayMs,
    int loseReplies,
    int retainCount,
    long retainMs,
    int appendsPerSecond) {

  /** Creates the faults; an absent outage is none. */
  public LogFaults(
      @Nullable Outage outage,
      long delayMs,
      int loseReplies,
      int retainCount,
      long retainMs,
      int appendsPerSecond) {
    this.outage = Objects.requireNonNullElse(outage, Outage.NONE);
    this.delayMs = delayMs;
    this.loseReplies = loseReplies;
    this.retainCount = retainCount;
    this.retainMs = retainMs;
    this.appendsPerSecond = appendsPerSecond;
  }

  /** Returns a log that works and keeps all. */
  public static LogFaults none() {
    return new LogFaults(Outage.NONE, 0, 0, 0, 0, 0);
  }

  /** Returns these faults with another outage. */
  public LogFaults withOutage(Outage other) {
    return new LogFaults(other, delayMs, loseReplies, retainCount, retainMs, appendsPerSecond);
  }

  /** Returns these faults with the next {@code count} replies to appends lost. */
  public LogFaults withLostReplies(int count) {
    return new LogFaults(outage, delayMs, count, retainCount, retainMs, appendsPerSecond);
  }
}
