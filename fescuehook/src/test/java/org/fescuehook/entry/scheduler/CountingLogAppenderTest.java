package org.fescuehook.entry.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CountingLogAppenderTest {

  private static final int QUEUE = 10;
  private static final long PATIENCE_SECONDS = 20;

  private final LoggerContext context = new LoggerContext();
  private final CountingLogAppender appender = new CountingLogAppender();
  private final StandingOutput output = new StandingOutput();

  /** Standard output whose reader stands still until it is let go. */
  private static final class StandingOutput extends AppenderBase<ILoggingEvent> {
    final CountDownLatch reached = new CountDownLatch(1);
    final CountDownLatch letGo = new CountDownLatch(1);

    @Override
    protected void append(ILoggingEvent event) {
      reached.countDown();
      try {
        letGo.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @BeforeEach
  void start() throws InterruptedException {
    context.setMDCAdapter(new LogbackMDCAdapter());
    output.setContext(context);
    output.start();
    appender.setContext(context);
    appender.setQueueSize(QUEUE);
    appender.addAppender(output);
    appender.start();
    log(Level.INFO);
    assertTrue(output.reached.await(PATIENCE_SECONDS, TimeUnit.SECONDS), "nothing was logged");
  }

  @AfterEach
  void stop() {
    output.letGo.countDown();
    appender.stop();
  }

  private void log(Level level) {
    appender.doAppend(
        new LoggingEvent("", context.getLogger("test"), level, "message", null, null));
  }

  @Test
  void minorEventsAreDroppedFirstAndEachIsCounted() {
    long before = CountingLogAppender.dropped();
    for (int i = 0; i < QUEUE; i++) {
      log(Level.INFO);
    }
    long minor = CountingLogAppender.dropped() - before;
    assertTrue(minor > 0 && minor < QUEUE, () -> "dropped " + minor);

    for (int i = 0; i < QUEUE; i++) {
      log(Level.ERROR);
    }
    assertEquals(QUEUE, CountingLogAppender.dropped() - before);
  }
}
