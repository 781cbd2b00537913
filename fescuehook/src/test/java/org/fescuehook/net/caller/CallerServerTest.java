package org.fescuehook.net.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescuehook.model.preferences.RequestPreferences;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CallerServerTest {
  // Far more than the sockets' buffers on both sides hold.
  private static final int LARGE_BYTES = 32 << 20;
  private static final Duration IDLE_LIMIT = Duration.ofMillis(100);
  private static final Duration HEADER_TIMEOUT = Duration.ofMillis(400);
  // A connection checks its timeouts four times within the header timeout.
  private static final Duration CHECK_INTERVAL = HEADER_TIMEOUT.dividedBy(4);

  private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final RequestMetrics metrics = new RequestMetrics(new SimpleMeterRegistry());
  private final AtomicInteger answered = new AtomicInteger();
  private final CountDownLatch blocked = new CountDownLatch(1);
  private final CountDownLatch free = new CountDownLatch(1);
  private final CallerServer server = new CallerServer(loop, preferences(), metrics, this::answer);
  private InetSocketAddress address;

  @BeforeEach
  void start() throws Exception {
    address = server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() {
    free.countDown();
    server.close();
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  // Guards against a drain that takes a connection as idle while the caller still reads an answer.
  @Test
  void drainDoesNotCutAnAnswerThatTheCallerReadsSlowly() throws Exception {
    try (RawCaller slow = new RawCaller(address);
        RawCaller idle = new RawCaller(address)) {
      slow.send(get("/large"));
      Await.until(() -> answered.get() == 1);
      idle.send(get("/"));
      assertEquals("200 true", outcome(idle.read()));

      server.drain(IDLE_LIMIT);
      assertTrue(idle.closedByPeer());
      awaitElapsed(System.nanoTime(), CHECK_INTERVAL.multipliedBy(2));
      int inFlight = metrics.inFlight().get();
      assertEquals("200 true", outcome(slow.read()));
      assertEquals(1, inFlight);
      Await.until(() -> metrics.inFlight().get() == 0);
    }
  }

  // Guards against closing a connection as idle whose request arrived while the loop was busy.
  @Test
  void drainAnswersARequestThatArrivedWhileTheEventLoopWasBusy() throws Exception {
    try (RawCaller caller = new RawCaller(address);
        RawCaller blocking = new RawCaller(address)) {
      caller.send(get("/"));
      assertEquals("200 true", outcome(caller.read()));
      long idleSince = System.nanoTime();
      blocking.send(get("/block"));
      blocked.await();

      caller.send(get("/"));
      server.drain(IDLE_LIMIT);
      awaitElapsed(idleSince, IDLE_LIMIT.plus(CHECK_INTERVAL));
      free.countDown();
      assertEquals("200 true", outcome(caller.read()));
    }
  }

  // Guards against running a request that gets no answer, which its caller may send elsewhere.
  @Test
  void drainHandlesNoRequestThatIsSentAfterItClosedTheConnection() throws Exception {
    try (RawCaller late = new RawCaller(address)) {
      late.send(get("/"));
      assertEquals("200 true", outcome(late.read()));
      server.drain(IDLE_LIMIT);
      Await.until(() -> metrics.connections().get() == 0);

      late.send(get("/"));
      assertEquals("0 false", outcome(late.read()));
      assertEquals(1, answered.get());
    }
  }

  private static void awaitElapsed(long sinceNanos, Duration elapsed) {
    Await.until(() -> System.nanoTime() - sinceNanos > elapsed.toNanos());
  }

  private static String get(String uri) {
    return RawCaller.request("GET", uri, "", "");
  }

  private static RequestPreferences preferences() {
    RequestPreferences base = RequestPathFixture.PREFERENCES;
    return new RequestPreferences(
        base.defaultTimeout(),
        base.maxTimeout(),
        base.maxBodyBytes(),
        base.maxHeaderBytes(),
        base.maxCallerConnections(),
        base.queueLength(),
        base.retryBudget(),
        base.maxTries(),
        HEADER_TIMEOUT,
        base.idleTimeout(),
        base.probeInterval(),
        base.claimWindow());
  }

  /** Answers on the event loop, which the request for {@code /block} blocks. */
  private void answer(CallerExchange exchange) {
    exchange.body().release();
    if (exchange.head().uri().equals("/block")) {
      blocked.countDown();
      await(free);
    }
    int size = exchange.head().uri().equals("/large") ? LARGE_BYTES : 1;
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(new byte[size]));
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, size);
    exchange.answer(answer);
    answered.incrementAndGet();
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String outcome(RawCaller.Answer answer) {
    return answer.status() + " " + answer.whole();
  }
}
