package org.fescuehook.net.worker;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescuehook.net.http.HttpCall;
import org.fescuehook.net.http.HttpResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that never times out because the worker's answer trickles in byte by
 * byte. The timeout must run from the sending of the request, whatever has arrived since.
 */
class TrickledAnswerTest {

  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private static final int ANSWER_BYTES = 1000;
  private static final long BYTE_INTERVAL_MILLIS = 200;

  /** Ten times the timeout; the complete answer takes far longer. */
  private static final long RESULT_WAIT_MILLIS = 5000;

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ScheduledExecutorService worker = Executors.newSingleThreadScheduledExecutor();
  private final ServerSocket server;

  TrickledAnswerTest() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    worker.shutdownNow();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private void answerByteByByte() {
    try {
      OutputStream out = server.accept().getOutputStream();
      String head = "HTTP/1.1 200 OK\r\ncontent-length: " + ANSWER_BYTES + "\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.UTF_8));
      worker.scheduleAtFixedRate(
          () -> writeByte(out), BYTE_INTERVAL_MILLIS, BYTE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private static void writeByte(OutputStream out) {
    try {
      out.write('x');
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  @Test
  void theTimeoutOfARequestStartsWithItsSending() throws Exception {
    worker.execute(this::answerByteByByte);
    BlockingQueue<HttpResult> results = new LinkedBlockingQueue<>();
    InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
    HttpCall call = HttpCall.without(HttpMethod.GET, "/");
    new WorkerConnections(loops.next(), address, TIMEOUT).send(call, results::add);
    HttpResult result = results.poll(RESULT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    assertNotNull(
        result, "no result within " + RESULT_WAIT_MILLIS + " ms of a timeout of " + TIMEOUT);
    assertInstanceOf(HttpResult.Failed.class, result);
  }
}
