package org.fescuehook.entry.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
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

  /** Standard output whose first line finds no memory. */
  private static final class PoorOutput extends AppenderBase<ILoggingEvent> {
    private final Queue<String> written;
    private boolean failed;

    PoorOutput(Queue<String> written) {
      this.written = written;
      start();
    }

    @Override
    protected void append(ILoggingEvent event) {
      if (!failed) {
        failed = true;
        throw new OutOfMemoryError("on purpose");
      }
      written.add(event.getFormattedMessage());
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

  private ILoggingEvent event(Level level) {
    return new LoggingEvent("", context.getLogger("test"), level, "message", null, null);
  }

  private void log(Level level) {
    appender.doAppend(event(level));
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

  @Test
  void aLineThatFindsNoMemoryIsCountedAndThoseAfterItAreWritten() throws InterruptedException {
    long before = CountingLogAppender.dropped();
    BlockingQueue<String> written = new LinkedBlockingQueue<>();
    CountingLogAppender poor = new CountingLogAppender();
    poor.setContext(context);
    poor.addAppender(new PoorOutput(written));
    poor.start();
    poor.doAppend(event(Level.INFO));
    poor.doAppend(event(Level.INFO));
    assertEquals("message", written.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
    poor.stop();
    assertEquals(1, CountingLogAppender.dropped() - before);
    String told = written.poll();
    assertTrue(told != null && told.startsWith("1 log lines dropped"), told);
  }
}
