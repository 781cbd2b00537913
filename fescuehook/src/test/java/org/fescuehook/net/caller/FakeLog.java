package org.fescuehook.net.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.fescuehook.logic.platform.LogAppender;
import org.fescuehook.model.log.LogRecord;

/**
 * In-memory log shared by request paths; its thread appends and delivers records to all of them.
 */
final class FakeLog implements LogAppender, AutoCloseable {
  enum Fault {
    NONE,
    /** Appends are refused. */
    REFUSING,
    /** Records are appended, but the appender gets no reply. */
    LOSING_REPLIES
  }

  private final ExecutorService thread = Executors.newSingleThreadExecutor();
  private final List<LogRecord> records = new ArrayList<>();
  private final List<RequestPath> readers = new ArrayList<>();
  private volatile Fault fault = Fault.NONE;

  /** Delivers all records so far, and each later one, to a request path. */
  void join(RequestPath path) {
    thread.execute(
        () -> {
          records.forEach(path::onRequestRecord);
          readers.add(path);
          path.onRequestsCaughtUp(0, records.size());
        });
  }

  void fail(Fault next) {
    fault = next;
  }

  @Override
  public boolean offer(String stream, byte[] data, Consumer<AppendResult> sink) {
    thread.execute(() -> append(data, sink));
    return true;
  }

  private void append(byte[] data, Consumer<AppendResult> sink) {
    if (fault == Fault.REFUSING) {
      sink.accept(new AppendResult.NotAppended("refused"));
      return;
    }
    LogRecord record = new LogRecord(records.size(), 1_700_000_000_000L + records.size(), data);
    records.add(record);
    if (fault == Fault.LOSING_REPLIES) {
      sink.accept(new AppendResult.Unknown("no reply"));
    } else {
      sink.accept(new AppendResult.Appended(record.offset()));
    }
    readers.forEach(path -> path.onRequestRecord(record));
  }

  /** Returns the number of records. */
  int size() throws Exception {
    return thread.submit(records::size).get();
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
