package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fescuehook.logic.batch.admission.ConfigurationAge;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchOrganisation;
import org.fescuehook.model.batch.JobQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against 401 and 404 from a VM that was cut off from the store while keys and queues were
 * declared. Callers take both as final and do not try again elsewhere.
 */
class StaleConfigurationTest {

  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int SERVICE_UNAVAILABLE = 503;

  private static final JobQueue QUEUE = new JobQueue("q", "pool", 1, 3, 3, 1000, false, false);

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicLong now = new AtomicLong();
  private final ConfigurationAge age = new ConfigurationAge();
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final BlockingQueue<BatchCall> forwarded = new LinkedBlockingQueue<>();
  private final HttpClient client = HttpClient.newHttpClient();
  private volatile CallAnswer ownerAnswer = new CallAnswer.Accepted();
  private CallerEdge edge;
  private InetSocketAddress address;

  @BeforeEach
  void start() throws IOException {
    edge =
        new CallerEdge(
            loops,
            (call, timeout, sink) -> {
              forwarded.add(call);
              sink.accept(ownerAnswer);
            },
            age,
            now::get,
            new RetryDelays(false),
            meters);
    address = edge.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    String host = address.getAddress().getHostAddress();
    BatchOrganisation north = new BatchOrganisation("north", Set.of("key"), 0);
    edge.route(
        new RouteTable(
            new BatchConfiguration(1, Map.of("q", QUEUE), List.of(north)),
            List.of(new RouteTable.Route(host, "/q/", QUEUE))));
    age.read(0);
  }

  @AfterEach
  void stop() {
    edge.stopListening();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private int status(String path, String key) throws IOException, InterruptedException {
    URI uri =
        URI.create(
            "http://%s:%d%s"
                .formatted(address.getAddress().getHostAddress(), address.getPort(), path));
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .version(HttpClient.Version.HTTP_1_1)
            .header("Credential", key)
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
  }

  private void passSinceLastRead(Duration time) {
    now.set(time.toNanos());
  }

  @Test
  void aVmThatReadTheStoreRecentlyAnswersItself() throws Exception {
    passSinceLastRead(Duration.ofMillis(3000));
    assertEquals(UNAUTHORIZED, status("/q/00000000000000aa", "new-key"));
    assertEquals(NOT_FOUND, status("/new/00000000000000aa", "key"));
    assertEquals(0, forwarded.size());
  }

  /** Guards against an owner with an older configuration that accepts a key this VM saw removed. */
  @Test
  void aVmWithAnOldConfigurationRefusesAnUnknownKeyAsNotRun() throws Exception {
    passSinceLastRead(Duration.ofMillis(3001));
    assertEquals(SERVICE_UNAVAILABLE, status("/q/00000000000000aa", "new-key"));
    assertEquals(0, forwarded.size());
  }

  @Test
  void aVmWithAnOldConfigurationRefusesAnUnknownQueueAsNotRun() throws Exception {
    passSinceLastRead(Duration.ofMillis(3001));
    assertEquals(SERVICE_UNAVAILABLE, status("/new/00000000000000aa", "key"));
    double refused =
        meters.counter("fescuehook.callers.refused", "cause", "stale-configuration").count();
    assertEquals(1, refused);
  }

  /** Guards against 401 and 404 from an owner that has not read a declaration which the VM has. */
  @Test
  void aVmThatKnowsTheKeyAndQueueDoesNotPassOnThatTheOwnerDoesNot() throws Exception {
    ownerAnswer = new CallAnswer.UnknownKey();
    assertEquals(SERVICE_UNAVAILABLE, status("/q/00000000000000aa", "key"));
    ownerAnswer = new CallAnswer.NoSuchQueue();
    assertEquals(SERVICE_UNAVAILABLE, status("/q/00000000000000aa", "key"));
  }

  /** A VM with an old table may know a key that has been revoked since. */
  @Test
  void anOwnerThatReadTheStoreLaterOverrulesAnOldTable() throws Exception {
    passSinceLastRead(Duration.ofMillis(3001));
    ownerAnswer = new CallAnswer.UnknownKey();
    assertEquals(UNAUTHORIZED, status("/q/00000000000000aa", "key"));
  }
}
