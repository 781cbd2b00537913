package org.fescuehook.net.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Base64;
import org.fescuehook.logic.platform.LogUnavailableException;
import org.fescuehook.model.log.LogPage;
import org.fescuehook.net.http.ScriptedServer;
import org.fescuehook.net.http.ScriptedServer.Act;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpLogServiceTest {

  private static final byte[] RECORD = {1, 2, 3};
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ScriptedServer server;

  @BeforeEach
  void open() throws IOException {
    server = new ScriptedServer();
  }

  @AfterEach
  void close() throws IOException {
    server.close();
    loops.shutdownGracefully();
  }

  @Test
  void anAppendWhoseReplyIsLostMayHaveTakenEffect() {
    server.then(new Act.Silence());

    LogUnavailableException lost =
        assertThrows(
            LogUnavailableException.class, () -> log(SHORT_TIMEOUT).append("control", RECORD));

    assertTrue(lost.mayHaveTakenEffect());
    assertEquals("append control", lost.step());
  }

  @Test
  void anAppendWhoseConnectionIsClosedMayHaveTakenEffect() {
    server.then(new Act.Close());

    LogUnavailableException lost =
        assertThrows(
            LogUnavailableException.class, () -> log(LONG_TIMEOUT).append("control", RECORD));

    assertTrue(lost.mayHaveTakenEffect());
  }

  @Test
  void anAppendThatCannotConnectTookNoEffect() throws IOException {
    InetSocketAddress closed = server.address();
    server.close();
    HttpLogService log = new HttpLogService(loops.next(), closed, LONG_TIMEOUT);

    LogUnavailableException refused =
        assertThrows(LogUnavailableException.class, () -> log.append("control", RECORD));

    assertFalse(refused.mayHaveTakenEffect());
  }

  @Test
  void anAppendRefusedDuringAnOutageTookNoEffect() {
    server.then(new Act.Answer(503, "{}"));

    LogUnavailableException refused =
        assertThrows(
            LogUnavailableException.class, () -> log(LONG_TIMEOUT).append("control", RECORD));

    assertFalse(refused.mayHaveTakenEffect());
  }

  @Test
  void aSilentConnectionIsReplacedByANewOne() throws LogUnavailableException {
    server.then(new Act.Silence(), new Act.Answer(200, "{\"offset\":7}"));
    HttpLogService log = log(SHORT_TIMEOUT);
    assertThrows(LogUnavailableException.class, () -> log.append("control", RECORD));

    assertEquals(7, log.append("control", RECORD));
    assertEquals(2, server.accepted());
  }

  @Test
  void callsShareOneConnection() throws LogUnavailableException {
    server.then(new Act.Answer(200, "{\"offset\":7}"), new Act.Answer(200, "{\"offset\":8}"));
    HttpLogService log = log(LONG_TIMEOUT);

    assertEquals(7, log.append("control", RECORD));
    assertEquals(8, log.append("control", RECORD));

    assertEquals(1, server.accepted());
  }

  @Test
  void aPageCarriesItsBoundsAndRecords() throws LogUnavailableException {
    String data = Base64.getEncoder().encodeToString(RECORD);
    server.then(
        new Act.Answer(
            200,
            "{\"earliest\":3,\"next\":5,\"records\":[{\"offset\":4,\"appended\":9,\"data\":\"%s\"}]}"
                .formatted(data)));

    LogPage page = log(LONG_TIMEOUT).read("control", 2, 10, Duration.ofMillis(5));

    assertEquals(3, page.earliest());
    assertEquals(5, page.next());
    assertEquals(4, page.records().getFirst().offset());
    assertEquals("GET /streams/control/records?from=2&max=10&wait-ms=5 ", server.requests().peek());
  }

  @Test
  void aReadFailsIfTheAnswerIsNotAPage() {
    server.then(new Act.Answer(200, "{\"records\":[]}"));

    assertThrows(
        LogUnavailableException.class,
        () -> log(LONG_TIMEOUT).read("control", 0, 10, Duration.ZERO));
  }

  private HttpLogService log(Duration timeout) {
    return new HttpLogService(loops.next(), server.address(), timeout);
  }
}
