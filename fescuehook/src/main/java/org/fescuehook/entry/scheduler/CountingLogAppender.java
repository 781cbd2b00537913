package org.fescuehook.entry.scheduler;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.spi.AppenderAttachable;
import ch.qos.logback.core.spi.AppenderAttachableImpl;
import java.time.Instant;
import java.util.Iterator;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.event.KeyValuePair;

/**
 * The bounded queue in front of standard output. It never holds the caller up: the fuller it is,
 * the higher a line's {@link LinePriority} has to be. What it drops is counted, and {@link
 * SchedulerEvent#LOG_LINES_DROPPED} tells of it once the lines in front are written.
 *
 * <p>Logback's own asynchronous appender takes all waiting lines out at once before it writes them,
 * so that its queue looks empty while twice its size waits, and an error ends its thread.
 */
public final class CountingLogAppender extends UnsynchronizedAppenderBase<ILoggingEvent>
    implements AppenderAttachable<ILoggingEvent> {

  private static final AtomicLong DROPPED = new AtomicLong();

  /** A planned stop takes up to 5.2 s before it, and the platform kills 6 s after its begin. */
  private static final long FLUSH_TIMEOUT_MILLIS = 300;

  private static final int DEFAULT_QUEUE_SIZE = 1024;

  private final AppenderAttachableImpl<ILoggingEvent> outputs = new AppenderAttachableImpl<>();
  private final AtomicReference<DroppedLines> unreported = new AtomicReference<>(DroppedLines.NONE);
  private final Thread writer = new Thread(this::writeAll, "log-writer");
  private int queueSize = DEFAULT_QUEUE_SIZE;
  private BlockingQueue<ILoggingEvent> queue = new ArrayBlockingQueue<>(1);
  private volatile boolean stopping;

  /** Used by the writer alone. */
  private int writtenSinceReport;

  /** Creates the appender; Logback sets its properties afterwards. */
  public CountingLogAppender() {
    writer.setDaemon(true);
  }

  /** Returns the events dropped since the start of the process. */
  public static long dropped() {
    return DROPPED.get();
  }

  /** Sets how many lines may wait; counts from the next start. */
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

  /** Writes what waits, as far as standard output takes it in the time of a planned stop. */
  @Override
  public void stop() {
    if (!isStarted()) {
      return;
    }
    super.stop();
    stopping = true;
    writer.interrupt();
    try {
      writer.join(FLUSH_TIMEOUT_MILLIS);
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
      // The stop: what waits is written below, and the thread ends.
    }
    for (ILoggingEvent event = queue.poll(); event != null; event = queue.poll()) {
      write(event);
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
      // Without this thread no line would be written any more; the lost one is told later.
      drop(event);
    }
    writtenSinceReport++;
  }

  /** In an overload that lasts the queue is never empty, so its size bounds what stays untold. */
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
