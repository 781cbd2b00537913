package org.fescuehook.platform;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;

/**
 * Reads from the store, one read at a time. Opens further connections only while the store answers
 * late. All calls must be made on its event loop.
 */
final class StoreReader {

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final ResponseTimeEstimator times;
  private final Deque<StoreClient> idle = new ArrayDeque<>();
  private Optional<RepeatedRead> currentRead = Optional.empty();

  /**
   * Creates a reader without a connection.
   *
   * @param times the response times of reads, shared by all readers of this VM
   */
  StoreReader(EventLoop loop, InetSocketAddress address, ResponseTimeEstimator times) {
    this.loop = loop;
    this.address = address;
    this.times = times;
  }

  /**
   * Reads a page of the newest record of each key.
   *
   * @param start where the page begins, from the page before it; absent for the first page
   */
  void newest(Topic topic, Optional<String> start, RepeatedRead.Listener listener) {
    begin(
        Duration.ZERO,
        listener,
        (client, wait, limit, sink) -> client.newest(topic, start, limit, sink));
  }

  /** Reads records from an offset on. The store waits up to the given time for the first one. */
  void read(Topic topic, long from, Duration wait, RepeatedRead.Listener listener) {
    begin(
        wait,
        listener,
        (client, waitTime, limit, sink) -> client.read(topic, from, waitTime, limit, sink));
  }

  /** Cancels the current read without an outcome and closes the connections. */
  void close() {
    currentRead.ifPresent(RepeatedRead::cancel);
    idle.forEach(StoreClient::close);
    idle.clear();
  }

  private void begin(Duration wait, RepeatedRead.Listener listener, Request request) {
    currentRead.ifPresent(RepeatedRead::cancel);
    currentRead = Optional.of(RepeatedRead.begin(new ReadLink(request), times, wait, listener));
  }

  /** Sends one kind of read request to the store. */
  private interface Request {
    void send(StoreClient client, Duration wait, Duration limit, Consumer<ReadOutcome> sink);
  }

  private final class ReadLink implements RepeatedRead.Link {
    private final Request request;

    ReadLink(Request request) {
      this.request = request;
    }

    @Override
    public long nowNanos() {
      return System.nanoTime();
    }

    @Override
    public InFlightRead send(Duration wait, Duration limit, Consumer<ReadOutcome> sink) {
      // Prefers the connection used last, as it is the most likely to be open still.
      StoreClient client = idle.isEmpty() ? new StoreClient(loop, address) : idle.removeLast();
      Exchange exchange = new Exchange(client);
      request.send(
          client,
          wait,
          limit,
          outcome -> {
            exchange.end();
            sink.accept(outcome);
          });
      return exchange;
    }

    @Override
    public void after(Duration delay, Runnable action) {
      loop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
  }

  /** One request over a connection. The connection is reused if its answer arrives. */
  private final class Exchange implements RepeatedRead.Link.InFlightRead {
    private final StoreClient client;
    private boolean released;

    Exchange(StoreClient client) {
      this.client = client;
    }

    void end() {
      if (!released) {
        released = true;
        idle.addLast(client);
      }
    }

    @Override
    public boolean heardWithin(Duration time) {
      return client.heardWithin(time);
    }

    @Override
    public long firstPartNanos() {
      return client.firstPartNanos();
    }

    @Override
    public void giveUp() {
      if (!released) {
        released = true;
        client.close();
      }
    }
  }
}
