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

/** A log service in memory. */
public final class LogStandIn extends StandIn<LogFaults> {
  private static final Pattern CALL = Pattern.compile("(GET|POST) /streams/([^/]+)/records");
  private static final int MAX_RECORD_BYTES = 1 << 20;

  private final LongSupplier clock;
  private final StandInServer server;
  private final Map<String, RecordStream> streams = new HashMap<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private LogFaults faults = LogFaults.NONE;
  private int repliesToLose;
  private long nextAppendAt;
  private Stats stats = new Stats(0, 0, 0, 0, Map.of());

  /** Counts of the log; {@code next} gives for each stream the offset after its last record. */
  public record Stats(
      long appends, long reads, long lostReplies, long failedCalls, Map<String, Long> next) {

    private Stats plus(int appended, int read, int lost, int failed) {
      return new Stats(
          appends + appended, reads + read, lostReplies + lost, failedCalls + failed, next);
    }
  }

  /** Starts the log; the clock gives wall-clock milliseconds. */
  public LogStandIn(EventLoopGroup group, InetSocketAddress address, LongSupplier clock)
      throws StandInException {
    super("log", LogFaults.class);
    this.clock = clock;
    var limits = new StandInServer.Limits(Integer.MAX_VALUE, MAX_RECORD_BYTES);
    this.server = new StandInServer(group, address, limits, this::handle);
  }

  /** Returns where it listens. */
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
    Matcher call = CALL.matcher(exchange.call());
    if (!call.matches()) {
      exchange.error(404, "not-found", exchange.call());
      return;
    }
    if (failed(exchange)) {
      return;
    }
    String stream = call.group(2);
    if (call.group(1).equals("POST")) {
      exchange.later(appendDelay(), () -> append(exchange, stream));
    } else {
      exchange.later(faults.delayMs(), () -> read(exchange, stream));
    }
  }

  private boolean failed(Exchange exchange) {
    if (faults.refusing()) {
      exchange.error(503, "outage", "the log is down");
    }
    if (faults.refusing() || faults.silent()) {
      stats = stats.plus(0, 0, 0, 1);
      return true;
    }
    return false;
  }

  private long appendDelay() {
    if (faults.appendsPerSecond() == 0) {
      return faults.delayMs();
    }
    long now = clock.getAsLong();
    nextAppendAt = Math.max(now, nextAppendAt) + 1000 / faults.appendsPerSecond();
    return faults.delayMs() + nextAppendAt - now;
  }

  private synchronized void append(Exchange exchange, String name) {
    long offset = retained(name).append(clock.getAsLong(), exchange.body());
    if (repliesToLose > 0) {
      repliesToLose--;
      stats = stats.plus(1, 0, 1, 0);
      exchange.close();
    } else {
      stats = stats.plus(1, 0, 0, 0);
      exchange.reply(200, Map.of("offset", offset));
    }
    for (Waiter waiter : List.copyOf(waiters)) {
      if (waiter.stream.equals(name)) {
        finish(waiter);
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
    Waiter waiter = new Waiter(exchange, name);
    waiters.add(waiter);
    exchange.later(waitMillis, () -> finish(waiter));
  }

  /** Answers a waiting read once: at the first record, or when its time is over. */
  private synchronized void finish(Waiter waiter) {
    if (waiters.remove(waiter) && !failed(waiter.exchange)) {
      waiter.exchange.reply(200, page(waiter.exchange, waiter.stream));
    }
  }

  private RecordStream.Page page(Exchange exchange, String name) {
    int max = (int) exchange.number("max", Integer.MAX_VALUE);
    return retained(name).read(exchange.number("from", 0), max);
  }

  private RecordStream retained(String name) {
    RecordStream stream = streams.computeIfAbsent(name, n -> new RecordStream());
    stream.retain(clock.getAsLong(), faults.retainCount(), faults.retainMs());
    return stream;
  }

  private record Waiter(Exchange exchange, String stream) {}
}
