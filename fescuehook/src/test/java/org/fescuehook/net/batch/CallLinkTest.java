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

  private static final long PATIENCE_SECONDS = 20;
  private static final BatchCall CALL = new BatchCall.Status("q", "key", "a1");
  private static final OwnerHint NEWER = new OwnerHint(new VmId("vm-3"), 9, "10.0.0.3:7000");

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Hints serversHints = new Hints();
  private final Hints linksHints = new Hints();
  private final BlockingQueue<CallAnswer> answers = new LinkedBlockingQueue<>();
  private volatile CallAnswer served = new CallAnswer.Accepted();
  private CallServer server;
  private CallLink link;

  /** Keeps the received hints. */
  private static final class Hints implements OwnerHints {
    final BlockingQueue<OwnerHint> told = new LinkedBlockingQueue<>();
    volatile Optional<OwnerHint> known = Optional.empty();

    @Override
    public Optional<OwnerHint> known() {
      return known;
    }

    @Override
    public void hinted(OwnerHint hint) {
      told.add(hint);
    }
  }

  @BeforeEach
  void start() throws Exception {
    server = new CallServer(loops, (call, patience, sink) -> sink.accept(served), serversHints);
    InetSocketAddress address =
        server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    EventLoop loop = (EventLoop) loops.next();
    link = new CallLink(loop, address, new NettyPeerConnector(loop, address), linksHints);
  }

  @AfterEach
  void stop() {
    link.close(Optional.empty());
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private CallAnswer call() throws InterruptedException {
    link.call(CALL, Duration.ofSeconds(PATIENCE_SECONDS), answers::add);
    return answers.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }

  @Test
  void anAnswerComesBackToItsCall() throws Exception {
    assertEquals(new CallAnswer.Accepted(), call());
  }

  @Test
  void aRefusalNamesTheOwnerThatTheRefusingVmKnows() throws Exception {
    serversHints.known = Optional.of(NEWER);
    served = new CallAnswer.Refused(RefusalCause.NOT_OWNER, 1000);

    assertEquals(served, call());
    assertEquals(NEWER, linksHints.told.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
  }

  @Test
  void theFormerOwnerIsToldOfTheNewerOneBeforeTheLinkCloses() throws Exception {
    call();
    link.close(Optional.of(NEWER));
    assertEquals(NEWER, serversHints.told.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
  }
}
