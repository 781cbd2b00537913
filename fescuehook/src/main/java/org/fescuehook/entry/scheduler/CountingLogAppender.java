package org.fescuehook.entry.scheduler;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.spi.AppenderAttachable;
import ch.qos.logback.core.spi.AppenderAttachableImpl;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.event.KeyValuePair;

/**
 * Writes log lines to standard output through a bounded queue, without ever blocking the logging
 * thread. The fuller the queue is, the higher the {@link LinePriority} of a line must be. Dropped
 * lines are counted and reported by {@link SchedulerEvent#LOG_LINES_DROPPED}, usually once the
 * queue has been written.
 *
 * <p>Logback's own asynchronous appender removes all queued lines at once before it writes them, so
 * its queue looks empty while up to twice its capacity is waiting, and an {@link Error} ends its
 * thread.
 */
public final class CountingLogAppender extends UnsynchronizedAppenderBase<ILoggingEvent>
    implements AppenderAttachable<ILoggingEvent> {

  private static final AtomicLong DROPPED = new AtomicLong();

  /**
   * Longest time to write the queued lines at the end. The graceful stop takes up to 5.2 s before
   * that, and the platform kills the process 6 s after the stop began.
   */
  private static final long FLUSH_TIMEOUT_MILLIS = 300;

  /** Time after the flush timeout in which the lines that are still queued can be reported. */
  private static final long REPORT_TIMEOUT_MILLIS = 100;

  private static final int DEFAULT_QUEUE_SIZE = 1024;

  private final AppenderAttachableImpl<ILoggingEvent> outputs = new AppenderAttachableImpl<>();
  private final AtomicReference<DroppedLines> unreported = new AtomicReference<>(DroppedLines.NONE);
  private final Thread writer = new Thread(this::writeAll, "log-writer");
  private final LongSupplier nanoTime;
  private int queueSize = DEFAULT_QUEUE_SIZE;
  private BlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(1);

  /** Monotonic time; published by {@link #stopping}. */
  private long flushUntil;

  private volatile boolean stopping;

  /** Confined to the writer thread. */
  private int writtenSinceReport;

  /** Creates an appender whose properties Logback sets afterwards. */
  public CountingLogAppender() {
    this(System::nanoTime);
  }

  /**
   * Creates an appender that takes the time from a clock.
   *
   * @param nanoTime monotonic time in nanoseconds
   */
  CountingLogAppender(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    writer.setDaemon(true);
  }

  /** Returns the number of lines dropped since the start of the process. */
  public static long dropped() {
    return DROPPED.get();
  }

  /** Sets the capacity of the queue; takes effect at the next start. */
  public void setQueueSize(int queueSize) {
    this.queueSize = queueSize;
  }

  @Override
  public void start() {
    if (isStarted()) {
      return;
    }
    queue = new ArrayBlockingQueue<>(queueSize);
    super.start();
    writer.start();
  }

  /**
   * Writes the queued lines, as far as standard output accepts them within the flush timeout. The
   * others count as dropped.
   */
  @Override
  public void stop() {
    if (!isStarted()) {
      return;
    }
    super.stop();
    flushUntil = nanoTime.getAsLong() + Duration.ofMillis(FLUSH_TIMEOUT_MILLIS).toNanos();
    stopping = true;
    writer.interrupt();
    try {
      writer.join(FLUSH_TIMEOUT_MILLIS + REPORT_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  protected void append(ILoggingEvent event) {
    LinePriority priority = LinePriority.of(event);
    if (queue.size() >= priority.limit(queueSize)) {
      drop(event);
      return;
    }
    event.prepareForDeferredProcessing();
    if (!queue.offer(event)) {
      drop(event);
    }
  }

  private void drop(ILoggingEvent event) {
    DROPPED.incrementAndGet();
    boolean decision = LinePriority.of(event) == LinePriority.DECISION;
    unreported.accumulateAndGet(
        DroppedLines.one(decision, event.getTimeStamp()), (sum, one) -> sum.plus(one));
  }

  private void writeAll() {
    try {
      while (!stopping) {
        write(queue.take());
        reportDroppedLines();
      }
    } catch (InterruptedException e) {
      // Interrupted by stop(): the queued lines are written below, and the thread ends.
    }
    for (ILoggingEvent event = queue.poll(); event != null; event = queue.poll()) {
      if (nanoTime.getAsLong() - flushUntil < 0) {
        write(event);
      } else {
        drop(event);
      }
    }
    DroppedLines lost = unreported.getAndSet(DroppedLines.NONE);
    if (!lost.isEmpty()) {
      write(createReport(lost));
    }
    outputs.detachAndStopAllAppenders();
  }

  private void write(ILoggingEvent event) {
    try {
      outputs.appendLoopOnAppenders(event);
    } catch (OutOfMemoryError e) {
      // Keeps the thread alive, as no line would be written without it. The lost line is reported
      // later.
      drop(event);
    }
    writtenSinceReport++;
  }

  /**
   * Queues a report of dropped lines when the queue is empty, or after as many lines as it holds:
   * during a persistent overload it never becomes empty.
   */
  private void reportDroppedLines() {
    boolean reportDue = queue.isEmpty() || writtenSinceReport >= queueSize;
    if (!reportDue || unreported.get().isEmpty()) {
      return;
    }
    DroppedLines lost = unreported.getAndSet(DroppedLines.NONE);
    if (!queue.offer(createReport(lost))) {
      unreported.accumulateAndGet(lost, DroppedLines::plus);
      return;
    }
    writtenSinceReport = 0;
  }

  private ILoggingEvent createReport(DroppedLines lost) {
    LoggerContext context = (LoggerContext) getContext();
    Object[] arguments = {
      lost.count(),
      lost.decisions(),
      Instant.ofEpochMilli(lost.firstMillis()),
      Instant.ofEpochMilli(lost.lastMillis())
    };
    LoggingEvent event =
        new LoggingEvent(
            CountingLogAppender.class.getName(),
            context.getLogger(CountingLogAppender.class),
            Level.WARN,
            SchedulerEvent.LOG_LINES_DROPPED.format(),
            null,
            arguments);
    event.addKeyValuePair(
        new KeyValuePair(EventLog.NUMBER_KEY, SchedulerEvent.LOG_LINES_DROPPED.number()));
    event.prepareForDeferredProcessing();
    return event;
  }

  @Override
  public void addAppender(Appender<ILoggingEvent> output) {
    outputs.addAppender(output);
  }

  @Override
  public Iterator<Appender<ILoggingEvent>> iteratorForAppenders() {
    return outputs.iteratorForAppenders();
  }

  @Override
  public Appender<ILoggingEvent> getAppender(String name) {
    return outputs.getAppender(name);
  }

  @Override
  public boolean isAttached(Appender<ILoggingEvent> output) {
    return outputs.isAttached(output);
  }

  @Override
  public void detachAndStopAllAppenders() {
    outputs.detachAndStopAllAppenders();
  }

  @Override
  public boolean detachAppender(Appender<ILoggingEvent> output) {
    return outputs.detachAppender(output);
  }

  @Override
  public boolean detachAppender(String name) {
    return outputs.detachAppender(name);
  }
}
