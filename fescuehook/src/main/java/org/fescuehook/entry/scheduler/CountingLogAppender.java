package org.fescuehook.entry.scheduler;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The bounded queue in front of standard output. It never holds the caller up: once four fifths are
 * full it drops events of level INFO and below, once it is full all, and it counts what it drops.
 */
public final class CountingLogAppender extends AsyncAppender {

  private static final AtomicLong DROPPED = new AtomicLong();

  /** Creates the appender; Logback sets its properties afterwards. */
  public CountingLogAppender() {
    setNeverBlock(true);
  }

  /** Returns the events dropped since the start of the process. */
  public static long dropped() {
    return DROPPED.get();
  }

  @Override
  protected void append(ILoggingEvent event) {
    boolean minor = event.getLevel().toInt() <= Level.INFO_INT;
    int room = getRemainingCapacity();
    if (room == 0 || (minor && room < getDiscardingThreshold())) {
      DROPPED.incrementAndGet();
    }
    super.append(event);
  }
}
