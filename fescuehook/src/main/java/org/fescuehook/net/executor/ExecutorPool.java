package org.fescuehook.net.executor;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Pools the connections to one executor. Used by the dispatch thread only, except for the number of
 * open connections, which event loops decrement.
 */
final class ExecutorPool {
  /** Age beyond which a connection is closed instead of being used again. */
  static final long MAX_AGE_NANOS = TimeUnit.MINUTES.toNanos(5);

  private final InetSocketAddress address;
  private final ExchangeCounters counters;
  private final Deque<ExecutorConnection> idle = new ArrayDeque<>();
  private final AtomicInteger open = new AtomicInteger();
  private boolean retired;
  private int limit;

  ExecutorPool(InetSocketAddress address, ExchangeCounters counters) {
    this.address = address;
    this.counters = counters;
  }

  InetSocketAddress address() {
    return address;
  }

  /**
   * Removes and returns an idle connection, if one is usable.
   *
   * @param loop event loop whose connections are preferred
   * @param maxSilenceNanos longest time since bytes were last received on the connection
   */
  @SuppressWarnings("ReferenceEquality") // event loops have identity, not value
  Optional<ExecutorConnection> acquire(EventLoop loop, long maxSilenceNanos) {
    long now = System.nanoTime();
    Optional<ExecutorConnection> found = Optional.empty();
    Iterator<ExecutorConnection> connections = idle.iterator();
    while (connections.hasNext()) {
      ExecutorConnection connection = connections.next();
      if (!isUsable(connection, now)) {
        connections.remove();
        continue;
      }
      if (now - connection.lastReadNanos() > maxSilenceNanos) {
        continue;
      }
      if (connection.channel().eventLoop().equals(loop)) {
        connections.remove();
        return Optional.of(connection);
      }
      if (found.isEmpty()) {
        found = Optional.of(connection);
      }
    }
    found.ifPresent(idle::remove);
    return found;
  }

  private boolean isUsable(ExecutorConnection connection, long now) {
    if (!connection.reusable()) {
      return false;
    }
    if (now - connection.openedNanos() <= MAX_AGE_NANOS) {
      return true;
    }
    counters.agedOut().increment();
    connection.channel().close();
    return false;
  }

  /** Returns a connection whose exchange ended to the pool, or closes it if it is not needed. */
  void release(ExecutorConnection connection) {
    if (retired || open.get() > limit) {
      connection.channel().close();
      return;
    }
    if (isUsable(connection, System.nanoTime())) {
      idle.addFirst(connection);
    }
  }

  /** Closes the idle connections now, and the others when they are released. */
  void retire() {
    retired = true;
    closeIdle();
  }

  /**
   * Sets the maximum number of connections. Surplus connections are closed now if they are idle,
   * and when they are released otherwise.
   */
  void setLimit(int maximum) {
    limit = maximum;
    int surplus = open.get() - maximum;
    while (surplus > 0 && closeLeastRecentlyUsed()) {
      surplus--;
    }
  }

  /** Reserves capacity for a new connection, closing an idle one if the limit is reached. */
  boolean reserve() {
    if (open.get() >= limit && !closeLeastRecentlyUsed()) {
      return false;
    }
    open.incrementAndGet();
    return true;
  }

  private boolean closeLeastRecentlyUsed() {
    while (!idle.isEmpty()) {
      ExecutorConnection last = idle.removeLast();
      if (last.channel().isActive()) {
        last.channel().close();
        return true;
      }
    }
    return false;
  }

  /** Frees the reserved capacity of a connection that was closed or could not be opened. */
  void connectionClosed() {
    open.decrementAndGet();
  }

  /** Removes and returns the idle connections that have been silent for at least the given time. */
  Deque<ExecutorConnection> removeSilent(long silentNanos) {
    long now = System.nanoTime();
    Deque<ExecutorConnection> silent = new ArrayDeque<>();
    Iterator<ExecutorConnection> connections = idle.iterator();
    while (connections.hasNext()) {
      ExecutorConnection connection = connections.next();
      if (!isUsable(connection, now)) {
        connections.remove();
      } else if (now - connection.lastReadNanos() >= silentNanos) {
        connections.remove();
        silent.add(connection);
      }
    }
    return silent;
  }

  void closeIdle() {
    idle.stream().map(ExecutorConnection::channel).forEach(Channel::close);
    idle.clear();
  }

  int openConnections() {
    return open.get();
  }
}
