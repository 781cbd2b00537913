package org.fescuehook.net.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.batch.ForwardedAnswer;
import org.fescuehook.wire.batch.ForwardedCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CallLinkTest {

  private static final long TIMEOUT_SECONDS = 20;
  private static final BatchCall CALL = new BatchCall.Status("q", "key", "a1");
  private static final OwnerHint NEWER = new OwnerHint(new VmId("vm-3"), 9, "10.0.0.3:7000");

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final RecordingHints serverHints = new RecordingHints();
  private final RecordingHints linkHints = new RecordingHints();
  private final BlockingQueue<CallAnswer> answers = new LinkedBlockingQueue<>();
  private volatile CallAnswer serverAnswer = new CallAnswer.Accepted();
  private InetSocketAddress serverAddress;
  private CallServer server;
  private CallLink link;

  /** Keeps the received hints. */
  private static final class RecordingHints implements OwnerHints {
    final BlockingQueue<OwnerHint> received = new LinkedBlockingQueue<>();
    volatile Optional<OwnerHint> known = Optional.empty();

    @Override
    public Optional<OwnerHint> known() {
      return known;
    }

    @Override
    public void hinted(OwnerHint hint) {
      received.add(hint);
    }
  }

  @BeforeEach
  void start() throws Exception {
    server = new CallServer(loops, (call, timeout, sink) -> sink.accept(serverAnswer), serverHints);
    serverAddress = server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    EventLoop loop = (EventLoop) loops.next();
    link =
        new CallLink(
            loop,
            serverAddress,
            new NettyPeerConnector(loop, serverAddress),
            linkHints,
            new RetryDelays(false));
  }

  @AfterEach
  void stop() {
    link.close(Optional.empty());
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private CallAnswer call() throws InterruptedException {
    link.call(CALL, Duration.ofSeconds(TIMEOUT_SECONDS), answers::add);
    return answers.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void returnsTheAnswerToItsCall() throws Exception {
    assertEquals(new CallAnswer.Accepted(), call());
  }

  @Test
  void aRefusalCarriesTheOwnerThatTheRefusingVmKnows() throws Exception {
    serverHints.known = Optional.of(NEWER);
    serverAnswer = new CallAnswer.Refused(RefusalCause.NOT_OWNER, 1000);

    assertEquals(serverAnswer, call());
    assertEquals(NEWER, linkHints.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  @Test
  void reportsTheNewerOwnerToThePreviousOneBeforeTheLinkCloses() throws Exception {
    call();
    link.close(Optional.of(NEWER));
    assertEquals(NEWER, serverHints.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /** Records the events of one connection. */
  private static final class RecordingListener implements PeerConnector.Listener {
    final BlockingQueue<PeerConnector.Connection> opened = new LinkedBlockingQueue<>();
    final BlockingQueue<ForwardedAnswer> received = new LinkedBlockingQueue<>();
    final BlockingQueue<String> ended = new LinkedBlockingQueue<>();

    @Override
    public void opened(PeerConnector.Connection connection) {
      opened.add(connection);
    }

    @Override
    public void failed(String cause) {
      ended.add(cause);
    }

    @Override
    public void received(PeerConnector.Connection from, ForwardedAnswer message) {
      received.add(message);
    }

    @Override
    public void closed(PeerConnector.Connection connection, String cause) {
      ended.add(cause);
    }
  }

  /**
   * Guards against a connection that is closed, which leaves the outcome of all its calls unknown,
   * because a VM of a newer version sent one call that this one cannot decode.
   */
  @Test
  void refusesACallThatItCannotDecodeAndKeepsTheConnection() throws Exception {
    RecordingListener listener = new RecordingListener();
    new NettyPeerConnector(loops.next(), serverAddress).connect(listener);
    PeerConnector.Connection connection = listener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    connection.send(ForwardedCall.newBuilder().setCall(7).setOperationValue(99).build(), () -> {});
    ForwardedAnswer answer = listener.received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(7, answer.getCall());
    assertEquals(ForwardedAnswer.Outcome.REFUSED, answer.getOutcome());
    assertEquals(0, listener.ended.size());
  }

  /** Guards against taking a call for sent that was written to a connection already closed. */
  @Test
  void reportsAMessageThatCannotBeWritten() throws Exception {
    RecordingListener listener = new RecordingListener();
    new NettyPeerConnector(loops.next(), serverAddress).connect(listener);
    PeerConnector.Connection connection = listener.opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    connection.close();
    listener.ended.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    BlockingQueue<String> unsent = new LinkedBlockingQueue<>();
    connection.send(CallCodec.encode(1, CALL), () -> unsent.add("unsent"));
    assertEquals("unsent", unsent.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  /**
   * Guards against a cause that VMs of earlier versions cannot decode: they close the connection.
   */
  @Test
  void newerCausesOfRefusalsAreSentBesideOlderOnes() throws Exception {
    assertSentBeside(RefusalCause.OVERLOADED, RefusalCause.BACKLOG);
    assertSentBeside(RefusalCause.OVERLOADED, RefusalCause.ID_IN_USE);
    assertSentBeside(RefusalCause.NO_CONFIGURATION, RefusalCause.STALE_CONFIGURATION);
  }

  private void assertSentBeside(RefusalCause older, RefusalCause newer) throws Exception {
    serverAnswer = new CallAnswer.Refused(newer, 3000);
    assertEquals(older.name(), CallCodec.encode(1, serverAnswer).getReason());
    assertEquals(serverAnswer, call());
  }

  /** Guards against a closed connection when the owner knows causes that this VM does not. */
  @Test
  void aCauseOfANewerVersionIsReadAsTheOlderOneBesideIt() {
    ForwardedAnswer newer =
        CallCodec.encode(1, new CallAnswer.Refused(RefusalCause.BACKLOG, 3000)).toBuilder()
            .setCause("UNHEARD_OF")
            .build();
    assertEquals(new CallAnswer.Refused(RefusalCause.OVERLOADED, 3000), CallCodec.decode(newer));
  }
}
