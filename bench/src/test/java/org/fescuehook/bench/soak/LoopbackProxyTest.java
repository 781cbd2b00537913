package org.fescuehook.bench.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import org.fescuehook.bench.caller.CallerClient;
import org.fescuehook.bench.caller.CallerOutcome;
import org.fescuehook.bench.caller.CallerRequest;
import org.fescuehook.standins.http.StandInServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LoopbackProxyTest {

  private static final long LONG_MILLIS = 20_000;
  private static final long SHORT_MILLIS = 200;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private StandInServer server;
  private LoopbackProxy proxy;
  private CallerClient client;

  @BeforeEach
  void start() throws Exception {
    server =
        new StandInServer(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            new StandInServer.Limits(10, 1000),
            exchange -> exchange.reply(200, Map.of()));
    proxy = new LoopbackProxy(group, server.address());
    client = new CallerClient(group);
  }

  @AfterEach
  void stop() {
    client.close();
    proxy.close();
    server.close();
    group.shutdownGracefully();
  }

  private CallerOutcome call(long timeoutMillis) {
    return client
        .send(proxy.address(), new CallerRequest("GET", "/", Map.of(), new byte[0], timeoutMillis))
        .join();
  }

  private int status() {
    return assertInstanceOf(CallerOutcome.Answered.class, call(LONG_MILLIS)).status();
  }

  @Test
  void whatIsNotDisturbedPasses() {
    assertEquals(200, status());
  }

  @Test
  void whatIsDelayedPassesToo() {
    proxy.disturb(LinkMode.DELAY);

    assertEquals(200, status());
  }

  @Test
  void aResetBreaksConnectionsUntilItIsOver() {
    assertEquals(200, status());
    proxy.disturb(LinkMode.RESET);
    call(LONG_MILLIS);
    assertInstanceOf(CallerOutcome.Unanswered.class, call(LONG_MILLIS));

    proxy.disturb(LinkMode.PASS);

    assertEquals(200, status());
  }

  @Test
  void aSilencedConnectionStaysDeadAndNewOnesWork() {
    proxy.disturb(LinkMode.SILENT);
    assertEquals(new CallerOutcome.Unanswered("no answer in time"), call(SHORT_MILLIS));

    proxy.disturb(LinkMode.PASS);

    assertEquals(200, status());
  }

  @Test
  void oneWayPassesNoAnswer() {
    proxy.disturb(LinkMode.ONE_WAY);

    assertEquals(new CallerOutcome.Unanswered("no answer in time"), call(SHORT_MILLIS));
  }
}
