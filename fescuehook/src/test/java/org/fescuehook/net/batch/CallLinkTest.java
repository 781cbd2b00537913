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
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.model.fleet.VmId;
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
    InetSocketAddress address =
        server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    EventLoop loop = (EventLoop) loops.next();
    link = new CallLink(loop, address, new NettyPeerConnector(loop, address), linkHints);
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
}
