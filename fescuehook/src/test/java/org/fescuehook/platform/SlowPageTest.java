package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against never reading a page of the job state over a slow network link, on which a page
 * takes a second or two. A timeout of 0.7 s for the complete page discarded the part that had
 * already arrived, however steadily it came, so every further request failed in the same way.
 */
class SlowPageTest {

  private static final int PIECES = 8;
  private static final long PIECE_MILLIS = 200;
  private static final long RECEIVER_MILLIS = 10;
  private static final long TIMEOUT_SECONDS = 20;

  /** A pause of the answer after which the reader may ask again; see {@link RepeatedRead}. */
  private static final long PAUSE_NANOS = RepeatedRead.NEVER_LATE.toNanos();

  private static final String PAGE = "{\"items\":[],\"hasMore\":false,\"endOffset\":0}";

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ScheduledExecutorService pieces = Executors.newScheduledThreadPool(2);
  private final ServerSocket server;
  private final Pauses sender = new Pauses();
  private final Pauses receiver = new Pauses();

  SlowPageTest() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    pieces.shutdownNow();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Answers one request with a body in equal pieces and pauses between them. */
  private void answerSlowly() {
    try {
      Socket connection = server.accept();
      OutputStream out = connection.getOutputStream();
      byte[] body = PAGE.getBytes(StandardCharsets.UTF_8);
      String head = "HTTP/1.1 200 OK\r\ncontent-length: " + body.length + "\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.UTF_8));
      AtomicInteger piece = new AtomicInteger();
      pieces.scheduleAtFixedRate(
          () -> writePiece(out, body, piece.getAndIncrement()),
          0,
          PIECE_MILLIS,
          TimeUnit.MILLISECONDS);
    } catch (IOException e) {
      // The server was closed at the end of the test.
    }
  }

  private void writePiece(OutputStream out, byte[] body, int piece) {
    sender.end();
    int from = Math.min(body.length, piece * body.length / PIECES);
    int to = Math.min(body.length, (piece + 1) * body.length / PIECES);
    try {
      out.write(body, from, to - from);
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  @Test
  void aPageThatComesSlowlyAndSteadilyIsRead() throws Exception {
    pieces.execute(this::answerSlowly);
    InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
    BlockingQueue<ReadOutcome> outcomes = new LinkedBlockingQueue<>();
    EventLoop loop = loops.next();
    loop.scheduleAtFixedRate(receiver::end, 0, RECEIVER_MILLIS, TimeUnit.MILLISECONDS);
    StoreReader reader =
        new StoreReader(loop, address, new ResponseTimeEstimator(RepeatedRead.NEVER_LATE));
    loop.execute(() -> reader.newest(Topic.STATE, Optional.empty(), new Listener(outcomes)));
    ReadOutcome outcome = outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertInstanceOf(ReadOutcome.Newest.class, outcome, String.valueOf(outcome));
  }

  /** The longest time between two steps of a thread that should follow each other closely. */
  private static final class Pauses {
    private final AtomicLong last = new AtomicLong(System.nanoTime());
    private final AtomicLong longest = new AtomicLong();

    void end() {
      long now = System.nanoTime();
      long pause = now - last.getAndSet(now);
      longest.accumulateAndGet(pause, Math::max);
    }

    long longestNanos() {
      return Math.max(longest.get(), System.nanoTime() - last.get());
    }
  }

  private final class Listener implements RepeatedRead.Listener {
    private final BlockingQueue<ReadOutcome> outcomes;

    Listener(BlockingQueue<ReadOutcome> outcomes) {
      this.outcomes = outcomes;
    }

    /** The page may count as late only if the test itself paused for as long. */
    @Override
    public void late(Duration time) {
      long paused = sender.longestNanos() + receiver.longestNanos();
      if (paused < PAUSE_NANOS) {
        outcomes.add(new ReadOutcome.Failed("late after " + time + ", paused for " + paused));
      }
    }

    @Override
    public void ended(ReadOutcome outcome) {
      outcomes.add(outcome);
    }
  }
}
