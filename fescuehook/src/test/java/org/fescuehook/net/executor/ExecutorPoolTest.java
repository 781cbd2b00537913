package org.fescuehook.net.executor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;

class ExecutorPoolTest {
  private final ExchangeCounters counters = ExchangeCounters.in(new SimpleMeterRegistry());
  private final ExecutorPool pool =
      new ExecutorPool(new InetSocketAddress("127.0.0.1", 1), counters);

  private EmbeddedChannel idle() {
    assertTrue(pool.reserve());
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.closeFuture().addListener(closed -> pool.connectionClosed());
    pool.release(new ExecutorConnection(channel, counters));
    return channel;
  }

  @Test
  void acquiresNoConnectionThatWasSilentForTooLong() {
    pool.setLimit(1);
    EmbeddedChannel channel = idle();
    // With a negative limit, every connection has been silent for too long.
    assertTrue(pool.acquire(channel.eventLoop(), -1).isEmpty());
    assertTrue(pool.acquire(channel.eventLoop(), Long.MAX_VALUE).isPresent());
  }

  @Test
  void closesIdleConnectionsBeyondALoweredLimitAndOthersWhenReleased() {
    pool.setLimit(3);
    EmbeddedChannel first = idle();
    EmbeddedChannel second = idle();
    EmbeddedChannel third = idle();
    ExecutorConnection busy = pool.acquire(third.eventLoop(), Long.MAX_VALUE).orElseThrow();
    pool.setLimit(1);
    assertEquals(1, pool.openConnections());
    assertFalse(first.isActive() || second.isActive());

    pool.setLimit(0);
    pool.release(busy);
    assertEquals(0, pool.openConnections());
  }

  @Test
  void opensNoConnectionBeyondItsLimitButReplacesAnIdleOne() {
    pool.setLimit(1);
    EmbeddedChannel only = idle();
    assertTrue(pool.reserve());
    assertFalse(only.isActive());
    assertFalse(pool.reserve());
  }
}
