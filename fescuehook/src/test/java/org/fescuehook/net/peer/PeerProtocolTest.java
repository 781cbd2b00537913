package org.fescuehook.net.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.wire.Heartbeat;
import org.fescuehook.wire.Hello;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.PeerMessage;
import org.fescuehook.wire.RequestKey;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerProtocolTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final VmId SERVER = new VmId("entry-1");
  private static final VmId CLIENT = new VmId("entry-2");
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final RecordingListener serverSide = new RecordingListener();
  private final RecordingListener clientSide = new RecordingListener();
  private PeerServer server;
  private InetSocketAddress address;
  private PeerLinks links;

  @BeforeEach
  void open() throws IOException {
    server = new PeerServer(loops, identity(SERVER), "s1", TIMEOUT, serverSide, meters);
    address = server.start(ANY_PORT);
    links = new PeerLinks(loops, identity(CLIENT), "c1", TIMEOUT, clientSide);
  }

  @AfterEach
  void close() {
    links.close();
    server.close();
    loops.shutdownGracefully();
  }

  @Test
  void aHeartbeatIsReceivedByBothSides() throws InterruptedException {
    connect();

    assertEquals(CLIENT, next(serverSide.reports).vm());
    assertEquals(SERVER, next(clientSide.reports).vm());
  }

  @Test
  void theClaimantReportsTheOutcomeOfARequest() throws Exception {
    connect();
    next(clientSide.reports);

    assertTrue(ask(RecordingListener.KNOWN).orElseThrow().getInProgress());
    assertEquals(
        Optional.of(false), ask(RequestKey.getDefaultInstance()).map(OutcomeReply::getInProgress));
  }

  @Test
  void aQueryToAPeerWithoutALinkHasNoAnswer() throws Exception {
    assertEquals(Optional.empty(), ask(RecordingListener.KNOWN));
  }

  @Test
  void aPeerSendsItsConfigurationOnRequest() throws InterruptedException {
    connect();
    next(clientSide.reports);

    links.askConfiguration(SERVER, 0);

    assertEquals(
        RecordingListener.REVISION_PLUS_ONE, next(clientSide.configurations).getRevisionPlusOne());
  }

  @Test
  void anotherProtocolVersionIsRefusedAndCounted() throws IOException {
    PeerMessage hello =
        PeerMessage.newBuilder()
            .setHello(Hello.newBuilder().setProtocolVersion(99).setVm("entry-9"))
            .build();

    assertEquals("version", refusalOf(frame(hello)));
    assertEquals(1, refused("version"));
  }

  @Test
  void aMessageBeforeTheHelloIsRefused() throws IOException {
    PeerMessage early =
        PeerMessage.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build();

    assertEquals("unexpected", refusalOf(frame(early)));
  }

  @Test
  void aPeerWithTheNameOfThisVmIsRefused() throws IOException {
    assertEquals("same-name", refusalOf(frame(PeerPipeline.hello(identity(SERVER), "x"))));
  }

  @Test
  void anOversizedFrameIsRefusedBeforeItIsRead() throws IOException {
    byte[] lengthOfTwoGigabytes = {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x07};

    assertEquals("oversized", refusalOf(lengthOfTwoGigabytes));
  }

  @Test
  void randomBytesAreRefusedAndDoNotAffectOtherConnections() throws Exception {
    connect();
    next(clientSide.reports);
    Random random = new Random(20);
    int tries = 200;
    for (int i = 0; i < tries; i++) {
      byte[] randomBytes = new byte[1 + random.nextInt(300)];
      random.nextBytes(randomBytes);
      sendAndAwaitEnd(randomBytes);
    }

    assertTrue(ask(RecordingListener.KNOWN).isPresent());
    assertTrue(serverSide.reports.stream().allMatch(report -> report.vm().equals(CLIENT)));
    double counted =
        refused("malformed") + refused("oversized") + refused("unexpected") + refused("version");
    assertTrue(counted > 0 && counted <= tries, "counted: " + counted);
  }

  private void connect() throws InterruptedException {
    links.retain(Map.of(SERVER, address));
    links.heartbeat();
  }

  private Optional<OutcomeReply> ask(RequestKey key) throws Exception {
    CompletableFuture<Optional<OutcomeReply>> reply = new CompletableFuture<>();
    links.fetch(SERVER, key, reply::complete);
    return reply.get(20, TimeUnit.SECONDS);
  }

  private double refused(String reason) {
    return meters.counter("fescuehook.peer.refused", "reason", reason).count();
  }

  private String refusalOf(byte[] bytes) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.getOutputStream().write(bytes);
      PeerMessage answer = PeerMessage.parseDelimitedFrom(socket.getInputStream());
      assertEquals(-1, socket.getInputStream().read());
      return answer.getRefused().getReason();
    }
  }

  /** Sends bytes and closes the sending side, so that an incomplete frame ends as well. */
  private void sendAndAwaitEnd(byte[] bytes) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.getOutputStream().write(bytes);
      socket.shutdownOutput();
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      // The connection was reset, as the server closed it before reading all bytes.
    }
  }

  private static byte[] frame(PeerMessage message) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    message.writeDelimitedTo(bytes);
    return bytes.toByteArray();
  }

  private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
    T taken = queue.poll(20, TimeUnit.SECONDS);
    if (taken == null) {
      throw new AssertionError("nothing was received in time");
    }
    return taken;
  }

  private static IdentityPreferences identity(VmId vm) {
    return new IdentityPreferences(vm, new FailureDomain("d"));
  }
}
