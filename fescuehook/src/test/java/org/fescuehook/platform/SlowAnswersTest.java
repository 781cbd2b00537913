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
 * Guards against requesting the first page of a topic over and over while the store takes longer
 * for each answer than the timeout of a request. With answers after 0.9 s and a timeout of 0.7 s,
 * each timeout closed the connection on which the answer was about to arrive, so restarted VMs knew
 * no configuration and no owner for up to 16 s.
 */
class SlowAnswersTest {

  private static final Duration ANSWER_DELAY = Duration.ofMillis(1000);
  private static final long TIMEOUT_SECONDS = 20;
  private static final int ANSWERS = 50;
  private static final String PAGE = "{\"items\":[],\"hasMore\":false,\"endOffset\":0}";

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ScriptedServer server;

  SlowAnswersTest() throws IOException {
    server = new ScriptedServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  @Test
  void aTopicIsReadFromAStoreThatIsSlowForEachAnswer() throws Exception {
    for (int i = 0; i < ANSWERS; i++) {
      server.then(new ScriptedServer.Act.LateAnswer(ANSWER_DELAY, 200, PAGE));
    }
    BlockingQueue<Long> ends = new LinkedBlockingQueue<>();
    StreamFollower.ReadTiming timing =
        new StreamFollower.ReadTiming(Duration.ofMillis(100), Duration.ofMillis(10));
    new StreamFollower(
            loops.next(),
            server.address(),
            new ResponseTimeEstimator(RepeatedRead.NEVER_LATE),
            Topic.OWNERSHIP,
            timing,
            new Listener(ends))
        .start();
    assertNotNull(ends.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the topic was not read");
  }

  private record Listener(BlockingQueue<Long> ends) implements StreamFollower.Listener {
    @Override
    public void newest(List<StreamRecord> records, long end) {
      ends.add(end);
    }

    @Override
    public void records(List<StreamRecord> records, long end) {
      // Only the first page matters to this test.
    }

    @Override
    public void failed() {
      // A late answer may still arrive.
    }
  }
}
