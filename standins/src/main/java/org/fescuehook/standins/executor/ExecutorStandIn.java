package org.fescuehook.standins.executor;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.zip.CRC32;
import org.fescuehook.standins.Journal;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.StandInServer;

/** One executor with its HTTP server and its slots, which limit the requests that run at a time. */
final class ExecutorStandIn {
  private static final String TOKEN_HEADER = "Request-Token";
  private static final int MAX_BODY_BYTES = 64 << 20;

  private final String name;
  private final int slots;
  private final LongSupplier clock;
  private final Journal<RequestRun> journal;
  private final StandInServer server;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger maxRunning = new AtomicInteger();
  private final LongAdder runs = new LongAdder();
  private final LongAdder refusals = new LongAdder();
  private final AtomicReference<String> lastToken = new AtomicReference<>("crossed");
  private volatile ExecutorFaults faults;
  private volatile long faultsSince;
  private volatile long lastRequestAt;

  ExecutorStandIn(
      EventLoopGroup group,
      InetSocketAddress address,
      String name,
      ExecutorStandIns.Limits limits,
      ExecutorFaults faults,
      LongSupplier clock,
      Journal<RequestRun> journal)
      throws StandInException {
    this.name = name;
    this.slots = limits.slots();
    this.faults = faults;
    this.clock = clock;
    this.journal = journal;
    var serverLimits = new StandInServer.Limits(limits.connections(), MAX_BODY_BYTES);
    this.server = new StandInServer(group, address, serverLimits, this::handle);
  }

  String name() {
    return name;
  }

  StandInServer server() {
    return server;
  }

  void apply(ExecutorFaults next) {
    faults = next;
    faultsSince = clock.getAsLong();
  }

  ExecutorStandIns.Stats stats() {
    return new ExecutorStandIns.Stats(
        runs.sum(),
        refusals.sum(),
        running.get(),
        maxRunning.get(),
        server.openConnections(),
        server.rejectedConnections(),
        faultsSince,
        lastRequestAt);
  }

  private void handle(Exchange exchange) {
    lastRequestAt = clock.getAsLong();
    ExecutorFaults current = faults;
    if (current.behaviour() == Behaviour.REFUSING || current.behaviour() == Behaviour.LEAVING) {
      refuse(exchange, current.behaviour().name());
      return;
    }
    String deadline = exchange.header("Request-Deadline-Ms");
    if (!deadline.isEmpty() && Long.parseLong(deadline) <= 0) {
      refuse(exchange, "DEADLINE");
      return;
    }
    int concurrency = running.incrementAndGet();
    if (concurrency > slots) {
      running.decrementAndGet();
      refuse(exchange, "SLOTS");
      return;
    }
    maxRunning.accumulateAndGet(concurrency, Math::max);
    run(exchange, current, concurrency);
  }

  private void refuse(Exchange exchange, String reason) {
    refusals.increment();
    Map<String, String> fields =
        Map.of("Not-Run", "true", TOKEN_HEADER, exchange.header(TOKEN_HEADER));
    exchange.reply(503, fields, reason.getBytes(StandardCharsets.US_ASCII));
  }

  private void run(Exchange exchange, ExecutorFaults current, int concurrency) {
    runs.increment();
    RequestRun run =
        new RequestRun(
            name,
            exchange.header(TOKEN_HEADER),
            exchange.header("Request-Id"),
            exchange.header("Organisation"),
            exchange.path(),
            clock.getAsLong(),
            0,
            concurrency);
    int index = journal.add(run);
    long extra = current.behaviour() == Behaviour.SLOW ? current.delayMs() : 0;
    exchange.later(
        exchange.number("ms", 0) + extra,
        () -> {
          journal.replace(index, run, run.ended(clock.getAsLong()));
          running.decrementAndGet();
          respond(exchange, current);
        });
  }

  private void respond(Exchange exchange, ExecutorFaults current) {
    String token = exchange.header(TOKEN_HEADER);
    String previousToken = lastToken.getAndSet(token);
    byte[] responseBody = responseBody(exchange);
    switch (current.behaviour()) {
      case SILENT -> {}
      case CUT -> exchange.cut(fields(token, responseBody), responseBody);
      case CROSSED -> send(exchange, previousToken, responseBody);
      case LATE -> exchange.later(current.delayMs(), () -> send(exchange, token, responseBody));
      case NORMAL, SLOW, REFUSING, LEAVING -> send(exchange, token, responseBody);
    }
  }

  private static void send(Exchange exchange, String token, byte[] responseBody) {
    if (exchange.path().equals("/size")) {
      exchange.replyChunked(fields(token, responseBody), responseBody);
    } else {
      exchange.reply(200, fields(token, responseBody), responseBody);
    }
  }

  /** Returns generated bytes of the requested size for {@code /size}, else the request's body. */
  private static byte[] responseBody(Exchange exchange) {
    if (!exchange.path().equals("/size")) {
      return exchange.body();
    }
    byte[] responseBody = new byte[(int) Math.min(MAX_BODY_BYTES, exchange.number("bytes", 0))];
    for (int i = 0; i < responseBody.length; i++) {
      responseBody[i] = (byte) (i * 31 + i / 251);
    }
    return responseBody;
  }

  private static Map<String, String> fields(String token, byte[] responseBody) {
    CRC32 checksum = new CRC32();
    checksum.update(responseBody);
    return Map.of(TOKEN_HEADER, token, "Checksum", Long.toHexString(checksum.getValue()));
  }
}
