package org.fescuehook.standins.executor;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.fescuehook.standins.Journal;
import org.fescuehook.standins.MonotonicClock;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.ServerLimits;
import org.fescuehook.standins.http.StandInServer;

/** One executor with its slots. */
final class ExecutorStandIn implements AutoCloseable {
  static final String TOKEN = "Request-Token";
  private static final String BEHAVIOUR = "Stand-In-Behaviour";

  private final String name;
  private final int slots;
  private final MonotonicClock clock;
  private final Journal<RequestRun> journal;
  private final StandInServer server;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger maxRunning = new AtomicInteger();
  private final LongAdder runs = new LongAdder();
  private final LongAdder refusals = new LongAdder();
  private final AtomicReference<String> lastToken = new AtomicReference<>("crossed");
  private volatile Behaviour behaviour = new Behaviour.Normal();
  private volatile long behaviourSince;
  private volatile long lastRequestAt;

  ExecutorStandIn(
      EventLoopGroup group,
      InetSocketAddress address,
      String name,
      ExecutorLimits limits,
      MonotonicClock clock,
      Journal<RequestRun> journal)
      throws StandInException {
    this.name = name;
    this.slots = limits.slots();
    this.clock = clock;
    this.journal = journal;
    this.server =
        new StandInServer(
            group, address, ServerLimits.connections(limits.connections()), this::handle);
  }

  String name() {
    return name;
  }

  InetSocketAddress address() {
    return server.address();
  }

  void apply(Behaviour next) {
    behaviour = next;
    behaviourSince = clock.millis();
  }

  void silenceOpenConnections() {
    server.silenceOpenConnections();
  }

  ExecutorStats stats() {
    return new ExecutorStats(
        runs.sum(),
        refusals.sum(),
        running.get(),
        maxRunning.get(),
        server.openConnections(),
        server.rejectedConnections(),
        behaviourSince,
        lastRequestAt);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(Exchange exchange) {
    lastRequestAt = clock.millis();
    String asked = exchange.header(BEHAVIOUR);
    Behaviour current = asked.isEmpty() ? behaviour : Behaviour.parse(asked);
    if (current instanceof Behaviour.Refusing || current instanceof Behaviour.Leaving) {
      refuse(exchange, current instanceof Behaviour.Leaving ? "leaving" : "refusing");
      return;
    }
    if (deadlinePassed(exchange)) {
      refuse(exchange, "deadline");
      return;
    }
    int now = running.incrementAndGet();
    if (now > slots) {
      running.decrementAndGet();
      refuse(exchange, "slots");
      return;
    }
    maxRunning.accumulateAndGet(now, Math::max);
    run(exchange, current, now);
  }

  private static boolean deadlinePassed(Exchange exchange) {
    String left = exchange.header("Request-Deadline-Ms");
    return !left.isEmpty() && Long.parseLong(left) <= 0;
  }

  private void refuse(Exchange exchange, String reason) {
    refusals.increment();
    Map<String, String> fields = Map.of("Not-Run", "true", TOKEN, exchange.header(TOKEN));
    exchange.reply(503, fields, reason.getBytes(StandardCharsets.US_ASCII));
  }

  private void run(Exchange exchange, Behaviour current, int concurrency) {
    runs.increment();
    RequestRun run =
        new RequestRun(
            name,
            exchange.header(TOKEN),
            exchange.header("Request-Id"),
            exchange.header("Organisation"),
            exchange.path(),
            clock.millis(),
            0,
            concurrency);
    long sequence = journal.add(run);
    long millis = exchange.path().equals("/sleep") ? exchange.number("ms", 0) : 0;
    long extra = current instanceof Behaviour.Slow slow ? slow.delayMs() : 0;
    exchange.later(
        millis + extra,
        () -> {
          journal.replace(sequence, run, run.ended(clock.millis()));
          running.decrementAndGet();
          answer(exchange, current);
        });
  }

  private void answer(Exchange exchange, Behaviour current) {
    String token = exchange.header(TOKEN);
    String other = lastToken.getAndSet(token);
    Reply reply = Reply.to(exchange);
    switch (current) {
      case Behaviour.Silent s -> {}
      case Behaviour.Cut c -> reply.cut(exchange, token);
      case Behaviour.Crossed c -> reply.send(exchange, other);
      case Behaviour.Late late ->
          exchange.later(late.delayMs(), () -> reply.send(exchange, token));
      case Behaviour.Normal n -> reply.send(exchange, token);
      case Behaviour.Slow s -> reply.send(exchange, token);
      case Behaviour.Refusing r -> reply.send(exchange, token);
      case Behaviour.Leaving l -> reply.send(exchange, token);
    }
  }
}
