package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;
import org.fescuehook.net.http.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a topic that is never read again, without a log line, after its listener has
 * thrown an error, such as {@link OutOfMemoryError}. Without the topic of ownership a VM knows no
 * owner, and without that of executors it cannot decide. It happened because the next read was
 * requested only after the listener had returned normally: the error closed the connection, and no
 * pending request was left that could fail and be retried.
 */
class FaultyListenerTest {

  private static final long TIMEOUT_SECONDS = 5;
  private static final String PAGE = "{\"items\":[],\"hasMore\":false,\"endOffset\":0}";

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ScriptedServer server;

  FaultyListenerTest() throws IOException {
    server = new ScriptedServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Throws an {@link OutOfMemoryError} for the first answer. */
  private static final class Listener implements StreamFollower.Listener {
    private final BlockingQueue<Long> reportedEnds = new LinkedBlockingQueue<>();
    private boolean faulty = true;

    @Override
    public void newest(List<StreamRecord> records, long end) {
      records(records, end);
    }

    @Override
    public void records(List<StreamRecord> records, long end) {
      if (faulty) {
        faulty = false;
        throw new OutOfMemoryError("on purpose");
      }
      reportedEnds.add(end);
    }

    @Override
    public void failed() {
      // The next read shows whether the topic is still read.
    }
  }

  @Test
  void aTopicIsStillReadAfterItsListenerThrows() throws Exception {
    for (int i = 0; i < 50; i++) {
      server.then(new ScriptedServer.Act.Answer(200, PAGE));
    }
    Listener listener = new Listener();
    StreamFollower.ReadTiming timing =
        new StreamFollower.ReadTiming(Duration.ofMillis(100), Duration.ofMillis(10));
    new StreamFollower(
            loops.next(),
            server.address(),
            new ResponseTimeEstimator(RepeatedRead.NEVER_LATE),
            Topic.OWNERSHIP,
            timing,
            listener)
        .start();
    assertNotNull(
        listener.reportedEnds.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "nothing more was read");
  }
}
