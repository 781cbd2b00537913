package org.fescuehook.platform;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.RepeatedAppend;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;
import org.fescuehook.logic.batch.store.SlowStoreDetector;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends to one topic. An append whose answer is late is sent again over another connection, so
 * one connection is in use while the store answers in time. All state except the counter is
 * confined to one event loop.
 */
final class StreamAppender {

  private static final Logger LOGGER = LoggerFactory.getLogger(StreamAppender.class);

  /**
   * Enough for all appends that are pending while the store is slow, with all of their repeated
   * sends.
   */
  private static final int MAX_CONNECTIONS = 24;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Topic topic;
  private final ResponseTimeEstimator times;
  private final Deque<StoreClient> idle = new ArrayDeque<>();
  private final SlowStoreDetector slowStoreDetector = new SlowStoreDetector();
  private final LongAdder repeatedSends = new LongAdder();
  private int busyConnections;

  /**
   * Creates an appender without a connection.
   *
   * @param reads the response times of reads; an append takes up to twice as long as a read
   */
  StreamAppender(
      EventLoop loop, InetSocketAddress address, Topic topic, ResponseTimeEstimator reads) {
    this.loop = loop;
    this.address = address;
    this.topic = topic;
    this.times = new ResponseTimeEstimator(RepeatedAppend.NEVER_LATE, reads);
  }

  /** Returns how many times an append was sent again because its answer was late. */
  long repeatedSends() {
    return repeatedSends.sum();
  }

  void append(BatchCommand.Append append, Consumer<AppendOutcome> sink) {
    byte[] body = RecordFraming.encode(append.records());
    long begunAt = System.nanoTime();
    RepeatedAppend.begin(
        new AppendLink(append, body),
        times,
        body.length,
        outcome -> {
          if (outcome instanceof AppendOutcome.Stored) {
            logSpeedChange(Duration.ofNanos(System.nanoTime() - begunAt));
          }
          sink.accept(outcome);
        });
  }

  private void logSpeedChange(Duration time) {
    switch (slowStoreDetector.stored(time)) {
      case SLOWER -> EventLog.warn(LOGGER, PlatformEvent.STORE_SLOW, topic, time.toMillis());
      case QUICKER -> EventLog.info(LOGGER, PlatformEvent.STORE_QUICK, topic, time.toMillis());
      case NONE -> {}
    }
  }

  private final class AppendLink implements RepeatedAppend.Link {
    private final BatchCommand.Append append;
    private final byte[] body;
    private boolean sentBefore;

    AppendLink(BatchCommand.Append append, byte[] body) {
      this.append = append;
      this.body = body;
    }

    @Override
    public long nowNanos() {
      return System.nanoTime();
    }

    @Override
    public Optional<Sending> send(Duration limit, Consumer<AppendOutcome> sink) {
      if (busyConnections == MAX_CONNECTIONS) {
        return Optional.empty();
      }
      if (sentBefore) {
        repeatedSends.increment();
      }
      sentBefore = true;
      // Prefers the connection used last, as it is the most likely to be open still.
      StoreClient client = idle.isEmpty() ? new StoreClient(loop, address) : idle.removeLast();
      Exchange exchange = new Exchange(client);
      client.append(
          topic,
          append.position(),
          append.expectedEnd(),
          body,
          limit,
          outcome -> {
            exchange.end();
            sink.accept(outcome);
          });
      return Optional.of(exchange);
    }

    @Override
    public void after(Duration delay, Runnable action) {
      loop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  /** One send over a connection. The connection is reused if its answer arrives. */
  private final class Exchange implements RepeatedAppend.Link.Sending {
    private final StoreClient client;
    private boolean released;

    Exchange(StoreClient client) {
      this.client = client;
      busyConnections++;
    }

    void end() {
      if (!released) {
        released = true;
        busyConnections--;
        idle.addLast(client);
      }
    }

    @Override
    public void giveUp() {
      if (!released) {
        released = true;
        busyConnections--;
        client.close();
      }
    }
  }
}
