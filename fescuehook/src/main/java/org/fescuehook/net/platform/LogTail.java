package org.fescuehook.net.platform;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.platform.LogService;
import org.fescuehook.logic.platform.LogUnavailableException;
import org.fescuehook.model.log.LogPage;
import org.fescuehook.model.log.LogRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads one stream from its earliest retained record on. One duty thread calls {@link #step()}. */
public final class LogTail {

  private static final Logger LOGGER = LoggerFactory.getLogger(LogTail.class);
  private static final int MAX_PAGE_RECORDS = 256;
  private static final Duration MAX_READ_WAIT = Duration.ofSeconds(1);
  private static final Duration FULL_RING_PAUSE = Duration.ofMillis(5);
  private static final Duration MIN_BACKOFF = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

  private final LogService log;
  private final String stream;
  private final Sink sink;
  private final MeterRegistry meters;
  private long next;
  private int pageRecords = MAX_PAGE_RECORDS;
  private int failures;
  private long failingSinceNanos;

  /** Creates a follower that has read nothing. */
  public LogTail(LogService log, String stream, Sink sink, MeterRegistry meters) {
    this.log = log;
    this.stream = stream;
    this.sink = sink;
    this.meters = meters;
  }

  /** Reads once and returns the pause before the next read. */
  public Duration step() {
    LogPage page;
    try {
      page = log.read(stream, next, pageRecords, MAX_READ_WAIT);
    } catch (LogUnavailableException e) {
      return failed(e);
    }
    if (page.next() < next) {
      return wentBack(page);
    }
    succeeded();
    return deliver(page);
  }

  private Duration deliver(LogPage page) {
    skipExpired(page);
    for (LogRecord record : page.records()) {
      if (record.offset() < next) {
        continue;
      }
      if (!sink.record(record)) {
        return FULL_RING_PAUSE;
      }
      next = record.offset() + 1;
    }
    if (next >= page.next()) {
      sink.caughtUp(page.earliest(), page.next());
    }
    return Duration.ZERO;
  }

  private void skipExpired(LogPage page) {
    if (page.earliest() <= next) {
      return;
    }
    EventLog.info(
        LOGGER, PlatformEvent.RECORDS_EXPIRED, stream, page.earliest(), page.earliest() - next);
    next = page.earliest();
  }

  private Duration wentBack(LogPage page) {
    meters.counter("fescuehook.log.went.back", "stream", stream).increment();
    EventLog.warn(LOGGER, PlatformEvent.LOG_WENT_BACK, stream, page.next(), next);
    // The answer is that of a lagging replica and says nothing about the current end of the log.
    sink.reachable(false);
    return MAX_BACKOFF;
  }

  private void succeeded() {
    if (failures > 0) {
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - failingSinceNanos);
      EventLog.info(LOGGER, PlatformEvent.LOG_REACHABLE, stream, millis);
    }
    failures = 0;
    pageRecords = Math.min(MAX_PAGE_RECORDS, pageRecords * 2);
    sink.reachable(true);
  }

  private Duration failed(LogUnavailableException cause) {
    if (Thread.currentThread().isInterrupted()) {
      // The duty is being stopped, so the failure does not mean that the log is unreachable.
      return Duration.ZERO;
    }
    meters.counter("fescuehook.log.read.failed", "stream", stream).increment();
    if (failures == 0) {
      failingSinceNanos = System.nanoTime();
      EventLog.warn(LOGGER, PlatformEvent.LOG_UNREACHABLE, stream, cause.getMessage());
    }
    failures++;
    // The read may have failed because a page of large records exceeds the largest answer.
    pageRecords = Math.max(1, pageRecords / 2);
    sink.reachable(false);
    return backoff();
  }

  private Duration backoff() {
    long ceiling = MIN_BACKOFF.toMillis() << Math.min(failures, 10);
    long bounded = Math.min(MAX_BACKOFF.toMillis(), ceiling);
    return Duration.ofMillis(1 + ThreadLocalRandom.current().nextLong(bounded));
  }

  /** Receives the records of a stream. Called by the duty thread. */
  public interface Sink {

    /** Handles a record; returns false if it has no capacity for it, so that it is read again. */
    boolean record(LogRecord record);

    /** Called when the end of the stream was reached. */
    void caughtUp(long earliest, long next);

    /** Reports whether the last read succeeded. */
    void reachable(boolean reachable);
  }
}
