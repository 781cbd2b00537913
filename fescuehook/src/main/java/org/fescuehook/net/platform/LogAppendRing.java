package org.fescuehook.net.platform;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.platform.LogAppender;
import org.fescuehook.logic.platform.LogService;
import org.fescuehook.logic.platform.LogUnavailableException;
import org.fescuehook.net.duty.DutyRing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends records one at a time, in the order in which they were offered. A record whose append
 * gets no answer is reported as unknown and never retried; one that has waited too long is not
 * sent.
 */
public final class LogAppendRing implements LogAppender {

  private static final Logger LOGGER = LoggerFactory.getLogger(LogAppendRing.class);
  private static final Duration IDLE = Duration.ofSeconds(1);

  private final LogService log;
  private final Duration maxWait;
  private final DutyRing<PendingAppend> ring;
  private final MeterRegistry meters;

  /**
   * Creates the ring; its thread has not started.
   *
   * @param name name of the thread
   * @param maxWait time in the ring after which a record is reported as not appended
   */
  public LogAppendRing(
      String name, int size, LogService log, Duration maxWait, MeterRegistry meters) {
    this.log = log;
    this.maxWait = maxWait;
    this.ring = new DutyRing<>(name, size, IDLE, meters);
    this.meters = meters;
  }

  /** Starts the thread. */
  public void start() {
    ring.start(new Appender());
  }

  /** Appends the records in the ring, for at most the given time, and ends the thread. */
  public void stop(Duration limit) {
    ring.stop(limit);
  }

  @Override
  public boolean offer(String stream, byte[] data, Consumer<AppendResult> sink) {
    return ring.offer(new PendingAppend(stream, data, sink, System.nanoTime()));
  }

  private AppendResult append(PendingAppend pending) {
    if (System.nanoTime() - pending.offeredNanos > maxWait.toNanos()) {
      return new AppendResult.NotAppended("waited too long in the ring");
    }
    try {
      return new AppendResult.Appended(log.append(pending.stream, pending.data));
    } catch (LogUnavailableException e) {
      if (!e.mayHaveTakenEffect()) {
        return new AppendResult.NotAppended(e.getMessage());
      }
      EventLog.warn(LOGGER, PlatformEvent.APPEND_UNKNOWN, pending.stream, e.getMessage());
      return new AppendResult.Unknown(e.getMessage());
    }
  }

  private void count(PendingAppend pending, AppendResult result) {
    String outcome =
        switch (result) {
          case AppendResult.Appended appended -> "appended";
          case AppendResult.NotAppended notAppended -> "not-appended";
          case AppendResult.Unknown unknown -> "unknown";
        };
    meters
        .timer("fescuehook.log.append", "stream", pending.stream, "outcome", outcome)
        .record(System.nanoTime() - pending.offeredNanos, TimeUnit.NANOSECONDS);
  }

  private record PendingAppend(
      String stream, byte[] data, Consumer<AppendResult> sink, long offeredNanos) {}

  private final class Appender implements DutyRing.Handler<PendingAppend> {
    @Override
    public void accept(PendingAppend pending) {
      AppendResult result = append(pending);
      count(pending, result);
      pending.sink.accept(result);
    }

    @Override
    public void idle() {}
  }
}
