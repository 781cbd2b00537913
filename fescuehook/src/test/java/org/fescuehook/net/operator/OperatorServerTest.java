package org.fescuehook.net.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.logic.control.ControlPort;
import org.fescuehook.model.configuration.Configuration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class OperatorServerTest {

  private static final String TOKEN = "s3cret";
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final FakeBackend backend = new FakeBackend();
  private final FakeControl control = new FakeControl();
  private final HttpClient client = HttpClient.newHttpClient();
  private Optional<OperatorServer> server = Optional.empty();

  @AfterEach
  void close() {
    client.close();
    server.ifPresent(OperatorServer::close);
    loops.shutdownGracefully();
  }

  @Test
  void aWrongTokenIsRefusedAndCounted() throws Exception {
    URI base = start(Optional.of(TOKEN));

    assertEquals(401, get(base, "/status", "Bearer s3cres").statusCode());
    assertEquals(401, get(base, "/status", "").statusCode());
    assertEquals(200, get(base, "/status", "Bearer " + TOKEN).statusCode());

    assertEquals(2, meters.counter("fescuehook.operator.refused", "reason", "token").count());
  }

  @Test
  void aDrainWithoutTheTokenDoesNothing() throws Exception {
    URI base = start(Optional.of(TOKEN));

    assertEquals(401, post(base, "/drain", "").statusCode());

    assertEquals(0, backend.drains);
  }

  @Test
  void probesOfALoadBalancerNeedNoToken() throws Exception {
    URI base = start(Optional.of(TOKEN));

    assertEquals(200, get(base, "/livez", "").statusCode());
    assertEquals(200, get(base, "/readyz", "").statusCode());
  }

  @Test
  void withoutATokenOnlyLoopbackIsBound() {
    OperatorServer open = server(Optional.empty());

    assertThrows(IOException.class, () -> open.start(new InetSocketAddress("0.0.0.0", 0)));
  }

  @Test
  void aVmThatIsNotReadyReportsTheReason() throws Exception {
    URI base = start(Optional.empty());
    backend.notReady = Optional.of("isolated");

    HttpResponse<String> answer = get(base, "/readyz", "");

    assertEquals(503, answer.statusCode());
    assertTrue(answer.body().contains("isolated"));
  }

  @Test
  void aConflictingPublicationReportsTheOneInForce() throws Exception {
    URI base = start(Optional.empty());
    control.answer = new ControlPort.Answer.Conflict(18, "ana");

    HttpResponse<String> answer =
        post(base, "/configuration", "{\"base\":17,\"author\":\"rui\",\"declarations\":\"x\"}");

    assertEquals(409, answer.statusCode());
    assertEquals(
        "{\"error\":\"conflict\",\"detail\":\"another publication won\",\"winner\":18,"
            + "\"author\":\"ana\"}",
        answer.body());
  }

  @Test
  void aPublicationWithoutABaseIsRefusedBeforeItIsOffered() throws Exception {
    URI base = start(Optional.empty());

    assertEquals(
        400,
        post(base, "/configuration", "{\"author\":\"rui\",\"declarations\":\"x\"}").statusCode());
    assertEquals(400, post(base, "/configuration", "no json").statusCode());

    assertEquals(0, control.offers);
  }

  @Test
  void aFullDecisionRingIsAnsweredAtOnce() throws Exception {
    URI base = start(Optional.empty());
    control.full = true;

    HttpResponse<String> answer = get(base, "/explain/j1", "");

    assertEquals(503, answer.statusCode());
    assertEquals("1", answer.headers().firstValue("retry-after").orElse(""));
  }

  @Test
  void pipelinedCallsAreAnsweredInTheirOrder() throws Exception {
    URI base = start(Optional.empty());
    String calls = "GET /livez HTTP/1.1\r\n\r\nGET /none HTTP/1.1\r\nConnection: close\r\n\r\n";
    try (Socket socket = new Socket(base.getHost(), base.getPort())) {
      socket.getOutputStream().write(calls.getBytes(StandardCharsets.US_ASCII));

      String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

      assertTrue(answers.indexOf("200 OK") < answers.indexOf("404 Not Found"));
      assertTrue(answers.startsWith("HTTP/1.1 200 OK"));
    }
  }

  @Test
  void aMalformedCallIsRefusedAndCounted() throws Exception {
    URI base = start(Optional.empty());
    try (Socket socket = new Socket(base.getHost(), base.getPort())) {
      socket.getOutputStream().write("NOISE\r\n\r\n".getBytes(StandardCharsets.US_ASCII));

      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

      assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
    }
    assertEquals(1, meters.counter("fescuehook.operator.refused", "reason", "malformed").count());
  }

  private URI start(Optional<String> token) throws IOException {
    InetSocketAddress address = server(token).start(ANY_PORT);
    return URI.create("http://127.0.0.1:" + address.getPort());
  }

  private OperatorServer server(Optional<String> token) {
    OperatorServer created = new OperatorServer(loops, token, backend, control, meters);
    server = Optional.of(created);
    return created;
  }

  private HttpResponse<String> get(URI base, String path, String authorization) throws Exception {
    HttpRequest.Builder request = HttpRequest.newBuilder(base.resolve(path));
    if (!authorization.isEmpty()) {
      request.header("Authorization", authorization);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> post(URI base, String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(base.resolve(path))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static final class FakeControl implements ControlPort {
    private volatile Answer answer = new Answer.Document("{}");
    private volatile boolean full;
    private volatile int offers;

    @Override
    public synchronized boolean offer(Request request, Consumer<Answer> sink) {
      offers++;
      if (full) {
        return false;
      }
      sink.accept(answer);
      return true;
    }
  }

  private static final class FakeBackend implements OperatorBackend {
    private volatile Optional<String> notReady = Optional.empty();
    private volatile int drains;

    @Override
    public Optional<String> notReady() {
      return notReady;
    }

    @Override
    public String metrics() {
      return "";
    }

    @Override
    public VmStatus status() {
      return new VmStatus(
          "entry-1", "d", "i", notReady, 17, true, 0, List.of(), List.of(), List.of());
    }

    @Override
    public Optional<Configuration> configuration() {
      return Optional.empty();
    }

    @Override
    public Optional<Configuration> configuration(long revision) {
      return Optional.empty();
    }

    @Override
    public List<Publication> history() {
      return List.of();
    }

    @Override
    public synchronized void drain() {
      drains++;
    }
  }
}
