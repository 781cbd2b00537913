package org.fescuehook.standins.log;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.StandInServer;

/** In-memory stand-in for the platform's append-only log service. */
public final class LogStandIn extends StandIn<LogFaults> {
  private static final Pattern RECORDS_REQUEST =
      Pattern.compile("(GET|POST) /streams/([^/]+)/records");
  private static final int MAX_RECORD_BYTES = 1 << 20;

  private final LongSupplier clock;
  private final StandInServer server;
  private final Map<String, RecordStream> streams = new HashMap<>();
  private final List<WaitingRead> waitingReads = new ArrayList<>();
  private LogFaults faults = LogFaults.NONE;
  private int repliesToLose;
  private long nextAppendAt;
  private Stats stats = new Stats(0, 0, 0, 0, Map.of());

  /** Counters of the log; {@code next} maps each stream to the offset after its last record. */
  public record Stats(
      long appends, long reads, long lostReplies, long failedCalls, Map<String, Long> next) {

    private Stats plus(int appended, int read, int lost, int failed) {
      return new Stats(
          appends + appended, reads + read, lostReplies + lost, failedCalls + failed, next);
    }
  }

  /** Starts the log; the clock returns wall-clock milliseconds. */
  public LogStandIn(EventLoopGroup group, InetSocketAddress address, LongSupplier clock)
      throws StandInException {
    super("log", LogFaults.class);
    this.clock = clock;
    var limits = new StandInServer.Limits(Integer.MAX_VALUE, MAX_RECORD_BYTES);
    this.server = new StandInServer(group, address, limits, this::handle);
  }

  /** Returns the address on which the log listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  @Override
  public synchronized void apply(LogFaults next) {
    faults = next;
    repliesToLose = next.loseReplies();
  }

  @Override
  public synchronized Stats stats() {
    Map<String, Long> next = new TreeMap<>();
    streams.forEach((name, stream) -> next.put(name, stream.next()));
    return new Stats(stats.appends, stats.reads, stats.lostReplies, stats.failedCalls, next);
  }

  @Override
  protected List<StandInServer> servers() {
    return List.of(server);
  }

  private synchronized void handle(Exchange exchange) {
    Matcher call = RECORDS_REQUEST.matcher(exchange.call());
    if (!call.matches()) {
      exchange.error(404, "not-found", exchange.call());
      return;
    }
    if (failsByFault(exchange)) {
      return;
    }
    String stream = call.group(2);
    if (call.group(1).equals("POST")) {
      exchange.later(appendDelay(), () -> append(exchange, stream));
    } else {
      exchange.later(faults.delayMs(), () -> read(exchange, stream));
    }
  }

  /** Returns whether a fault in force prevents the request, after responding if the log refuses. */
  private boolean failsByFault(Exchange exchange) {
    if (faults.refusing()) {
      exchange.error(503, "outage", "the log is down");
    }
    if (faults.refusing() || faults.silent()) {
      stats = stats.plus(0, 0, 0, 1);
      return true;
    }
    return false;
  }

  /** Returns the delay of the next append, which keeps to the configured rate. */
  private long appendDelay() {
    if (faults.appendsPerSecond() == 0) {
      return faults.delayMs();
    }
    long now = clock.getAsLong();
    nextAppendAt = Math.max(now, nextAppendAt) + 1000 / faults.appendsPerSecond();
    return faults.delayMs() + nextAppendAt - now;
  }

  private synchronized void append(Exchange exchange, String name) {
    long offset = streamWithRetention(name).append(clock.getAsLong(), exchange.body());
    if (repliesToLose > 0) {
      repliesToLose--;
      stats = stats.plus(1, 0, 1, 0);
      exchange.close();
    } else {
      stats = stats.plus(1, 0, 0, 0);
      exchange.reply(200, Map.of("offset", offset));
    }
    for (WaitingRead waitingRead : List.copyOf(waitingReads)) {
      if (waitingRead.stream.equals(name)) {
        completeRead(waitingRead);
      }
    }
  }

  private synchronized void read(Exchange exchange, String name) {
    stats = stats.plus(0, 1, 0, 0);
    RecordStream.Page page = page(exchange, name);
    long waitMillis = exchange.number("wait-ms", 0);
    if (waitMillis <= 0 || !page.records().isEmpty()) {
      exchange.reply(200, page);
      return;
    }
    WaitingRead waitingRead = new WaitingRead(exchange, name);
    waitingReads.add(waitingRead);
    exchange.later(waitMillis, () -> completeRead(waitingRead));
  }

  /** Responds to a waiting read once: at the first append to its stream, or after its wait time. */
  private synchronized void completeRead(WaitingRead waitingRead) {
    if (waitingReads.remove(waitingRead) && !failsByFault(waitingRead.exchange)) {
      waitingRead.exchange.reply(200, page(waitingRead.exchange, waitingRead.stream));
    }
  }

  private RecordStream.Page page(Exchange exchange, String name) {
    int max = (int) exchange.number("max", Integer.MAX_VALUE);
    return streamWithRetention(name).read(exchange.number("from", 0), max);
  }

  /** Returns a stream, created if absent, after dropping the records that have expired. */
  private RecordStream streamWithRetention(String name) {
    RecordStream stream = streams.computeIfAbsent(name, n -> new RecordStream());
    stream.retain(clock.getAsLong(), faults.retainCount(), faults.retainMs());
    return stream;
  }

  private record WaitingRead(Exchange exchange, String stream) {}
}
