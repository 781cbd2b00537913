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

/** Connections to one executor. Used by the dispatch thread only, but for the count. */
final class ExecutorPool {
  /** Age at which a connection is not used again. */
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
   * Takes an idle connection, if there is one that may be used.
   *
   * @param loop event loop that is preferred
   * @param freshNanos longest time since the last sign of life
   */
  @SuppressWarnings("ReferenceEquality") // event loops have identity, not value
  Optional<ExecutorConnection> take(EventLoop loop, long freshNanos) {
    long now = System.nanoTime();
    Optional<ExecutorConnection> found = Optional.empty();
    Iterator<ExecutorConnection> connections = idle.iterator();
    while (connections.hasNext()) {
      ExecutorConnection connection = connections.next();
      if (!usable(connection, now)) {
        connections.remove();
        continue;
      }
      if (now - connection.lastReadNanos() > freshNanos) {
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

  private boolean usable(ExecutorConnection connection, long now) {
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

  /** Takes back a connection whose exchange ended. */
  void putBack(ExecutorConnection connection) {
    if (retired || open.get() > limit) {
      connection.channel().close();
      return;
    }
    if (usable(connection, System.nanoTime())) {
      idle.addFirst(connection);
    }
  }

  /** Closes the idle connections now, and the others when they are taken back. */
  void retire() {
    retired = true;
    closeIdle();
  }

  /** Sets the most connections; idle ones beyond it are closed, others when they are taken back. */
  void limit(int most) {
    limit = most;
    int surplus = open.get() - most;
    while (surplus > 0 && closeLeastRecent()) {
      surplus--;
    }
  }

  /** Reserves room for one more connection, closing an idle one if need be. */
  boolean reserve() {
    if (open.get() >= limit && !closeLeastRecent()) {
      return false;
    }
    open.incrementAndGet();
    return true;
  }

  private boolean closeLeastRecent() {
    while (!idle.isEmpty()) {
      ExecutorConnection last = idle.removeLast();
      if (last.channel().isActive()) {
        last.channel().close();
        return true;
      }
    }
    return false;
  }

  /** Gives back room that was reserved. */
  void released() {
    open.decrementAndGet();
  }

  /** Returns the connections that have been idle for at least so long, and takes them out. */
  Deque<ExecutorConnection> takeSilent(long silentNanos) {
    long now = System.nanoTime();
    Deque<ExecutorConnection> silent = new ArrayDeque<>();
    Iterator<ExecutorConnection> connections = idle.iterator();
    while (connections.hasNext()) {
      ExecutorConnection connection = connections.next();
      if (!usable(connection, now)) {
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
