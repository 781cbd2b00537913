package org.fescuehook.standins.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.Json;
import org.fescuehook.standins.http.Outage;
import org.fescuehook.standins.http.ServerLimits;
import org.fescuehook.standins.http.StandInServer;

/** A log service in memory. */
public final class LogStandIn implements StandIn {
  private static final int DEFAULT_PAGE = 1000;

  private final Clock clock;
  private final StandInServer server;
  private final Map<String, RecordStream> streams = new HashMap<>();
  private final Map<String, List<Runnable>> waiting = new HashMap<>();
  private LogFaults faults = LogFaults.none();
  private int repliesToLose;
  private long nextAppendAt;
  private long appends;
  private long reads;
  private long lostReplies;
  private long refusedCalls;

  /**
   * Counts of the log.
   *
   * @param next for each stream the offset after its last record
   */
  public record Stats(
      long appends, long reads, long lostReplies, long refusedCalls, Map<String, Long> next) {}

  /** Starts the log. */
  public LogStandIn(EventLoopGroup group, InetSocketAddress address, Clock clock)
      throws StandInException {
    this.clock = clock;
    this.server = new StandInServer(group, address, ServerLimits.unlimited(), this::handle);
  }

  /** Returns where it listens. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Replaces the faults in force. */
  public synchronized void apply(LogFaults next) {
    faults = next;
    repliesToLose = next.loseReplies();
  }

  @Override
  public String target() {
    return "log";
  }

  @Override
  public void apply(JsonNode tree) throws JsonProcessingException {
    apply(Json.convert(tree, LogFaults.class));
  }

  @Override
  public List<?> journal() {
    return List.of();
  }

  @Override
  public synchronized Stats stats() {
    Map<String, Long> next = new TreeMap<>();
    streams.forEach((name, stream) -> next.put(name, stream.next()));
    return new Stats(appends, reads, lostReplies, refusedCalls, next);
  }

  @Override
  public void silenceOpenConnections() {
    server.silenceOpenConnections();
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(Exchange exchange) {
    List<String> path = exchange.segments();
    if (path.size() != 3 || !path.get(0).equals("streams") || !path.get(2).equals("records")) {
      exchange.error(404, "not-found", exchange.path());
      return;
    }
    String stream = path.get(1);
    if (inOutage(exchange)) {
      return;
    }
    switch (exchange.method()) {
      case "POST" -> exchange.later(appendDelay(), () -> append(exchange, stream));
      case "GET" -> exchange.later(readDelay(), () -> read(exchange, stream));
      default -> exchange.error(405, "method", exchange.method());
    }
  }

  private synchronized boolean inOutage(Exchange exchange) {
    if (faults.outage() == Outage.NONE) {
      return false;
    }
    refusedCalls++;
    if (faults.outage() == Outage.REFUSING) {
      exchange.error(503, "outage", "the log is down");
    }
    return true;
  }

  private synchronized long readDelay() {
    return faults.delayMs();
  }

  private synchronized long appendDelay() {
    if (faults.appendsPerSecond() == 0) {
      return faults.delayMs();
    }
    long now = clock.millis();
    nextAppendAt = Math.max(now, nextAppendAt) + 1000 / faults.appendsPerSecond();
    return faults.delayMs() + nextAppendAt - now;
  }

  private void append(Exchange exchange, String name) {
    List<Runnable> readers;
    synchronized (this) {
      RecordStream stream = retained(name);
      long offset = stream.append(clock.millis(), exchange.body());
      appends++;
      answerAppend(exchange, offset);
      readers = waiting.remove(name);
    }
    if (readers != null) {
      readers.forEach(Runnable::run);
    }
  }

  private void answerAppend(Exchange exchange, long offset) {
    if (repliesToLose > 0) {
      repliesToLose--;
      lostReplies++;
      exchange.close();
      return;
    }
    exchange.json(200, Map.of("offset", offset));
  }

  private synchronized void read(Exchange exchange, String name) {
    reads++;
    long waitMillis = exchange.number("wait-ms", 0);
    if (waitMillis <= 0 || !page(exchange, name).records().isEmpty()) {
      exchange.json(200, page(exchange, name));
      return;
    }
    Waiter waiter = new Waiter(exchange, name);
    waiting.computeIfAbsent(name, n -> new ArrayList<>()).add(waiter);
    exchange.later(waitMillis, waiter);
  }

  private RecordStream.Page page(Exchange exchange, String name) {
    int max = (int) exchange.number("max", DEFAULT_PAGE);
    return retained(name).read(exchange.number("from", 0), max);
  }

  private RecordStream retained(String name) {
    RecordStream stream = streams.computeIfAbsent(name, n -> new RecordStream());
    stream.retain(clock.millis(), faults.retainCount(), faults.retainMs());
    return stream;
  }

  /** Answers a waiting read once: at the first record, or when its time is over. */
  private final class Waiter implements Runnable {
    private final Exchange exchange;
    private final String name;
    private boolean answered;

    Waiter(Exchange exchange, String name) {
      this.exchange = exchange;
      this.name = name;
    }

    @Override
    public void run() {
      synchronized (LogStandIn.this) {
        if (answered) {
          return;
        }
        answered = true;
        waiting.getOrDefault(name, new ArrayList<>()).remove(this);
        if (!inOutage(exchange)) {
          exchange.json(200, page(exchange, name));
        }
      }
    }
  }
}
