package org.fescuehook.entry.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
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

  /**
   * Standard output that blocks until it is released and keeps what it has written. Each line takes
   * some time of a virtual clock.
   */
  private static final class SlowOutput extends AppenderBase<ILoggingEvent> {
    final CountDownLatch reached = new CountDownLatch(1);
    final CountDownLatch released = new CountDownLatch(1);
    final CountDownLatch stopped = new CountDownLatch(1);
    final List<String> written = new CopyOnWriteArrayList<>();
    private final AtomicLong nowNanos;
    private final Duration timePerLine;

    SlowOutput(AtomicLong nowNanos, Duration timePerLine) {
      this.nowNanos = nowNanos;
      this.timePerLine = timePerLine;
      start();
    }

    @Override
    protected void append(ILoggingEvent event) {
      reached.countDown();
      awaitRelease(released);
      nowNanos.addAndGet(timePerLine.toNanos());
      written.add(event.getFormattedMessage());
    }

    @Override
    public void stop() {
      super.stop();
      stopped.countDown();
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

  /**
   * Stops an appender while its output is blocked, its queue is full and one line was dropped.
   *
   * @return what was written in the end
   */
  private List<String> writtenAfterStop(Duration timePerLine) throws InterruptedException {
    AtomicLong nowNanos = new AtomicLong();
    CountingLogAppender slowAppender = new CountingLogAppender(nowNanos::get);
    SlowOutput slowOutput = new SlowOutput(nowNanos, timePerLine);
    slowAppender.setContext(context);
    slowAppender.setQueueSize(QUEUE_SIZE);
    slowAppender.addAppender(slowOutput);
    slowAppender.start();
    slowAppender.doAppend(event(Level.ERROR));
    assertTrue(slowOutput.reached.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "nothing was logged");
    for (int i = 0; i < QUEUE_SIZE + 1; i++) {
      slowAppender.doAppend(event(Level.ERROR));
    }
    slowAppender.stop();
    slowOutput.released.countDown();
    assertTrue(slowOutput.stopped.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the writer goes on");
    return slowOutput.written;
  }

  /** Guards against a log that ends without a report, as its reader is slower than the stop. */
  @Test
  void linesThatASlowOutputDoesNotAcceptInTimeAtTheEndAreReportedAsDropped()
      throws InterruptedException {
    List<String> written = writtenAfterStop(Duration.ofMillis(100));
    int lines = written.size() - 1;
    assertTrue(lines < QUEUE_SIZE, () -> "written: " + written);
    int dropped = QUEUE_SIZE + 2 - lines;
    assertTrue(written.getLast().startsWith(dropped + " log lines dropped"), written::getLast);
  }

  @Test
  void aFastOutputGetsAllQueuedLinesAndTheReportAtTheEnd() throws InterruptedException {
    List<String> written = writtenAfterStop(Duration.ZERO);
    assertEquals(1 + QUEUE_SIZE + 1, written.size());
    assertTrue(written.getLast().startsWith("1 log lines dropped"), written::getLast);
  }
}
