package org.fescuehook.net.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.platform.LogAppender.AppendResult;
import org.fescuehook.logic.platform.LogService;
import org.fescuehook.logic.platform.LogUnavailableException;
import org.fescuehook.model.log.LogPage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LogAppendRingTest {

  private final FakeLog log = new FakeLog();
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final BlockingQueue<AppendResult> results = new LinkedBlockingQueue<>();
  private LogAppendRing ring;

  @AfterEach
  void stop() {
    log.open.countDown();
    ring.stop(Duration.ofSeconds(5));
  }

  @Test
  void recordsAreAppendedInTheOrderOfTheirOffer() throws InterruptedException {
    start(Duration.ofMinutes(1));

    offer(1);
    offer(2);

    assertEquals(new AppendResult.Appended(0), next());
    assertEquals(new AppendResult.Appended(1), next());
    assertEquals(List.of((byte) 1, (byte) 2), log.appended);
  }

  @Test
  void anAppendWithoutAReplyIsUnknownAndNotRetried() throws InterruptedException {
    log.loseReplies = true;
    start(Duration.ofMinutes(1));

    offer(1);

    assertInstanceOf(AppendResult.Unknown.class, next());
    assertEquals(List.of((byte) 1), log.appended);
  }

  @Test
  void aRecordThatWaitedTooLongIsNotAppended() throws InterruptedException {
    start(Duration.ofNanos(-1));

    offer(1);

    assertInstanceOf(AppendResult.NotAppended.class, next());
    assertEquals(List.of(), log.appended);
  }

  @Test
  void aFullRingRefusesAndCountsOffersAtOnce() throws InterruptedException {
    log.open = new CountDownLatch(1);
    start(Duration.ofMinutes(1));
    offer(1);
    assertTrue(log.entered.await(20, TimeUnit.SECONDS));
    int taken = 1;
    while (ring.offer("control", new byte[] {9}, results::add)) {
      taken++;
    }

    assertTrue(taken <= 4);
    assertFalse(ring.offer("control", new byte[] {9}, results::add));
    assertEquals(2, meters.counter("fescuehook.ring.refused", "ring", "test-append").count());
  }

  private void start(Duration maxWait) {
    ring = new LogAppendRing("test-append", 4, log, maxWait, meters);
    ring.start();
  }

  private void offer(int content) {
    assertTrue(ring.offer("control", new byte[] {(byte) content}, results::add));
  }

  private AppendResult next() throws InterruptedException {
    AppendResult result = results.poll(20, TimeUnit.SECONDS);
    if (result == null) {
      throw new AssertionError("no result");
    }
    return result;
  }

  private static final class FakeLog implements LogService {
    private final List<Byte> appended = new CopyOnWriteArrayList<>();
    private final CountDownLatch entered = new CountDownLatch(1);
    private volatile CountDownLatch open = new CountDownLatch(0);
    private volatile boolean loseReplies;

    @Override
    public long append(String stream, byte[] data) throws LogUnavailableException {
      entered.countDown();
      await();
      appended.add(data[0]);
      if (loseReplies) {
        throw new LogUnavailableException("append", "fake", true, new IOException("lost"));
      }
      return appended.size() - 1L;
    }

    @Override
    public LogPage read(String stream, long from, int max, Duration wait) {
      throw new AssertionError("an appender does not read");
    }

    private void await() {
      try {
        open.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
