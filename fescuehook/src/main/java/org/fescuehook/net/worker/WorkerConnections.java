package org.fescuehook.net.worker;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.fescuehook.net.http.HttpCall;
import org.fescuehook.net.http.HttpClientConnection;
import org.fescuehook.net.http.HttpResult;

/**
 * Pools persistent connections to one worker, and queues requests while all of them are busy. All
 * state is confined to one event loop.
 */
final class WorkerConnections {

  private static final int MAX_CONNECTIONS = 4;
  private static final int MAX_QUEUED_CALLS = 512;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Duration timeout;
  private final Deque<HttpClientConnection> idle = new ArrayDeque<>();
  private final Deque<QueuedCall> queue = new ArrayDeque<>();
  private int connectionCount;

  WorkerConnections(EventLoop loop, InetSocketAddress address, Duration timeout) {
    this.loop = loop;
    this.address = address;
    this.timeout = timeout;
  }

  /** Returns the address of the worker. */
  InetSocketAddress address() {
    return address;
  }

  /** Sends a request once a connection is free. The timeout starts now and includes that wait. */
  void send(HttpCall call, Consumer<HttpResult> sink) {
    long deadline = System.nanoTime() + timeout.toNanos();
    loop.execute(() -> accept(new QueuedCall(call, deadline, sink)));
  }

  /** Closes the idle connections. */
  void close() {
    loop.execute(() -> idle.forEach(HttpClientConnection::close));
  }

  private void accept(QueuedCall call) {
    if (!idle.isEmpty()) {
      dispatch(idle.pop(), call);
      return;
    }
    if (connectionCount < MAX_CONNECTIONS) {
      connectionCount++;
      dispatch(new HttpClientConnection(loop, address, timeout), call);
      return;
    }
    if (queue.size() >= MAX_QUEUED_CALLS) {
      call.sink.accept(new HttpResult.Failed(new TimeoutException("queue is full"), false));
      return;
    }
    queue.add(call);
  }

  private void dispatch(HttpClientConnection connection, QueuedCall call) {
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos - System.nanoTime());
    if (remainingMillis <= 0) {
      call.sink.accept(new HttpResult.Failed(new TimeoutException("waited too long"), false));
      release(connection);
      return;
    }
    connection.send(
        call.call,
        Duration.ofMillis(remainingMillis),
        result -> {
          call.sink.accept(result);
          release(connection);
        });
  }

  private void release(HttpClientConnection connection) {
    if (queue.isEmpty()) {
      idle.push(connection);
      return;
    }
    QueuedCall next = queue.poll();
    loop.execute(() -> dispatch(connection, next));
  }

  private record QueuedCall(HttpCall call, long deadlineNanos, Consumer<HttpResult> sink) {}
}
