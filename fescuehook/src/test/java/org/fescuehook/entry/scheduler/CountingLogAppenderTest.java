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

  private static final int QUEUE_SIZE = 10;
  private static final long TIMEOUT_SECONDS = 20;

  private final LoggerContext context = new LoggerContext();
  private final CountingLogAppender appender = new CountingLogAppender();
  private final BlockedOutput output = new BlockedOutput();

  /** Standard output that blocks until it is released. */
  private static final class BlockedOutput extends AppenderBase<ILoggingEvent> {
    final CountDownLatch reached = new CountDownLatch(1);
    final CountDownLatch released = new CountDownLatch(1);

    @Override
    protected void append(ILoggingEvent event) {
      reached.countDown();
      awaitRelease(released);
    }
  }

  /**
   * Standard output that throws an {@link OutOfMemoryError} for the first line, once it is
   * released.
   */
  private static final class OutOfMemoryOutput extends AppenderBase<ILoggingEvent> {
    final CountDownLatch released = new CountDownLatch(1);
    private final Queue<String> written;
    private boolean failed;

    OutOfMemoryOutput(Queue<String> written) {
      this.written = written;
      start();
    }

    @Override
    protected void append(ILoggingEvent event) {
      if (!failed) {
        failed = true;
        awaitRelease(released);
        throw new OutOfMemoryError("on purpose");
      }
      written.add(event.getFormattedMessage());
    }
  }

  private static void awaitRelease(CountDownLatch released) {
    try {
      released.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @BeforeEach
  void start() throws InterruptedException {
    context.setMDCAdapter(new LogbackMDCAdapter());
    output.setContext(context);
    output.start();
    appender.setContext(context);
    appender.setQueueSize(QUEUE_SIZE);
    appender.addAppender(output);
    appender.start();
    log(Level.INFO);
    assertTrue(output.reached.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "nothing was logged");
  }

  @AfterEach
  void stop() {
    output.released.countDown();
    appender.stop();
  }

  private ILoggingEvent event(Level level) {
    return new LoggingEvent("", context.getLogger("test"), level, "message", null, null);
  }

  private void log(Level level) {
    appender.doAppend(event(level));
  }

  @Test
  void eventsOfLowPriorityAreDroppedFirstAndCounted() {
    long before = CountingLogAppender.dropped();
    for (int i = 0; i < QUEUE_SIZE; i++) {
      log(Level.INFO);
    }
    long droppedInfoEvents = CountingLogAppender.dropped() - before;
    assertTrue(
        droppedInfoEvents > 0 && droppedInfoEvents < QUEUE_SIZE,
        () -> "dropped " + droppedInfoEvents);

    for (int i = 0; i < QUEUE_SIZE; i++) {
      log(Level.ERROR);
    }
    assertEquals(QUEUE_SIZE, CountingLogAppender.dropped() - before);
  }

  @Test
  void aLineLostToAnOutOfMemoryErrorIsCountedAndLaterLinesAreWritten() throws InterruptedException {
    long before = CountingLogAppender.dropped();
    BlockingQueue<String> written = new LinkedBlockingQueue<>();
    CountingLogAppender failingAppender = new CountingLogAppender();
    failingAppender.setContext(context);
    OutOfMemoryOutput failingOutput = new OutOfMemoryOutput(written);
    failingAppender.addAppender(failingOutput);
    failingAppender.start();
    failingAppender.doAppend(event(Level.INFO));
    failingAppender.doAppend(event(Level.INFO));
    // Both lines wait by now, so that the report of the lost line comes after the second one.
    failingOutput.released.countDown();
    assertEquals("message", written.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    failingAppender.stop();
    assertEquals(1, CountingLogAppender.dropped() - before);
    String report = written.poll();
    assertTrue(report != null && report.startsWith("1 log lines dropped"), report);
  }
}
