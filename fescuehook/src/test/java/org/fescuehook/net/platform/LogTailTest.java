package org.fescuehook.net.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.platform.LogService;
import org.fescuehook.logic.platform.LogUnavailableException;
import org.fescuehook.model.log.LogPage;
import org.fescuehook.model.log.LogRecord;
import org.junit.jupiter.api.Test;

class LogTailTest {

  private final FakeLog log = new FakeLog();
  private final Recorder sink = new Recorder();
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final LogTail tail = new LogTail(log, "control", sink, meters);

  @Test
  void readsFromTheEarliestRetainedRecordToTheEnd() {
    log.page = new LogPage(40, 42, List.of(record(40), record(41)));

    assertEquals(Duration.ZERO, tail.step());

    assertEquals(List.of("reachable", "record 40", "record 41", "caught up 40..42"), sink.seen);
  }

  @Test
  void aRecordThatTheSinkDidNotAcceptIsReadAgain() {
    log.page = new LogPage(0, 2, List.of(record(0), record(1)));
    sink.capacity = 1;
    tail.step();
    sink.capacity = 5;

    tail.step();

    assertEquals(1, log.from);
    assertEquals(
        List.of("reachable", "record 0", "reachable", "record 1", "caught up 0..2"), sink.seen);
  }

  @Test
  void aLogThatEndsBeforeTheReadPositionIsReportedAsUnreachable() {
    log.page = new LogPage(0, 2, List.of(record(0), record(1)));
    tail.step();
    sink.seen.clear();
    log.page = new LogPage(0, 1, List.of());

    tail.step();

    assertEquals(List.of("unreachable"), sink.seen);
    assertEquals(1, meters.counter("fescuehook.log.went.back", "stream", "control").count());
  }

  @Test
  void aFailedReadIsRetriedWithFewerRecords() {
    tail.step();
    int first = log.max;

    tail.step();

    assertTrue(log.max < first);
    assertEquals(List.of("unreachable", "unreachable"), sink.seen);
  }

  private static LogRecord record(long offset) {
    return new LogRecord(offset, 0, new byte[0]);
  }

  /** Answers with one page, or not at all. */
  private static final class FakeLog implements LogService {
    private LogPage page = new LogPage(-1, -1, List.of());
    private long from;
    private int max;

    @Override
    public long append(String stream, byte[] data) {
      throw new AssertionError("a reader does not append");
    }

    @Override
    public LogPage read(String stream, long from, int max, Duration wait)
        throws LogUnavailableException {
      this.from = from;
      this.max = max;
      if (page.next() < 0) {
        throw new LogUnavailableException("read", "fake", false, new IOException("down"));
      }
      return page;
    }
  }

  private static final class Recorder implements LogTail.Sink {
    private final List<String> seen = new ArrayList<>();
    private int capacity = 5;

    @Override
    public boolean record(LogRecord record) {
      if (capacity == 0) {
        return false;
      }
      capacity--;
      seen.add("record " + record.offset());
      return true;
    }

    @Override
    public void caughtUp(long earliest, long next) {
      seen.add("caught up " + earliest + ".." + next);
    }

    @Override
    public void reachable(boolean reachable) {
      seen.add(reachable ? "reachable" : "unreachable");
    }
  }
}
