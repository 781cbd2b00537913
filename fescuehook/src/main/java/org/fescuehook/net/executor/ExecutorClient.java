package org.fescuehook.net.executor;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescuehook.logic.dispatch.DispatchResult;
import org.fescuehook.logic.dispatch.DispatchResult.NotSentCause;
import org.fescuehook.model.fleet.Executor;
import org.fescuehook.model.fleet.ExecutorId;

/** Sends requests to executors over pooled connections. Used by the dispatch thread only. */
public final class ExecutorClient {
  /** Longest time for opening a connection. */
  static final int CONNECT_TIMEOUT_MILLIS = 1000;

  /**
   * Longest silence after which a pooled connection may still carry a request that is not
   * repeatable, as such a request is not retried when the connection turns out to be dead.
   */
  static final long NON_REPEATABLE_MAX_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time within which a probe must be answered. */
  static final long PROBE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final InetSocketAddress UNKNOWN_ADDRESS =
      InetSocketAddress.createUnresolved("unknown", 0);

  private final EventLoopGroup loops;
  private final Bootstrap bootstrap;
  private final ExchangeCounters counters;
  private final Map<ExecutorId, ExecutorPool> pools = new HashMap<>();
  private Map<ExecutorId, Integer> limits = Map.of();
  // Answered probes, whose connections return to their pools. Event loops add to the queue, and the
  // dispatch thread removes from it.
  private final Queue<SentRequest> answeredProbes = new ConcurrentLinkedQueue<>();
  private long probeCount;

  /** Creates the client; connections are opened when needed. */
  public ExecutorClient(EventLoopGroup loops, MeterRegistry metrics) {
    this.loops = loops;
    this.counters = ExchangeCounters.in(metrics);
    this.bootstrap =
        new Bootstrap()
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .handler(new PipelineInitializer());
  }

  /**
   * Applies the executors of a configuration. Closes the pools of executors that are no longer
   * listed or have a new address.
   */
  public void configure(Iterable<Executor> executors) {
    Map<ExecutorId, ExecutorPool> configured = new HashMap<>();
    for (Executor executor : executors) {
      configured.put(executor.id(), poolFor(executor));
    }
    HashSet<ExecutorPool> obsolete = new HashSet<>(pools.values());
    obsolete.removeAll(configured.values());
    obsolete.forEach(ExecutorPool::retire);
    pools.clear();
    pools.putAll(configured);
  }

  private ExecutorPool poolFor(Executor executor) {
    ExecutorPool pool = pools.get(executor.id());
    if (pool != null && pool.address().equals(executor.address())) {
      return pool;
    }
    ExecutorPool opened = new ExecutorPool(executor.address(), counters);
    opened.setLimit(limits.getOrDefault(executor.id(), 0));
    return opened;
  }

  /** Sets the maximum number of connections to each executor; executors not named get none. */
  public void limitConnections(Map<ExecutorId, Integer> connections) {
    limits = Map.copyOf(connections);
    pools.forEach((id, pool) -> pool.setLimit(limits.getOrDefault(id, 0)));
  }

  /**
   * Sends a request over a pooled connection, or over a new one if none is usable.
   *
   * @param loop event loop whose connections are preferred
   */
  public SentRequest send(
      ExecutorId executor, EventLoop loop, ExecutorRequest request, AnswerListener listener) {
    ExecutorPool pool = pools.get(executor);
    if (pool == null) {
      ExecutorPool unknown = new ExecutorPool(UNKNOWN_ADDRESS, counters);
      return notSent(new SentRequest(unknown), loop, listener);
    }
    SentRequest sent = new SentRequest(pool);
    long maxSilenceNanos = request.repeatable() ? Long.MAX_VALUE : NON_REPEATABLE_MAX_SILENCE_NANOS;
    Optional<ExecutorConnection> pooled = pool.acquire(loop, maxSilenceNanos);
    if (pooled.isPresent()) {
      sent.writtenTo(pooled.get());
      pooled.get().send(request, listener);
      return sent;
    }
    if (!pool.reserve()) {
      return notSent(sent, loop, listener);
    }
    connect(pool, loop)
        .addListener(
            (ChannelFuture opened) -> {
              if (!opened.isSuccess()) {
                listener.onEnd(new DispatchResult.NotSent(NotSentCause.CONNECT_FAILED), 0);
                return;
              }
              ExecutorConnection connection =
                  opened.channel().pipeline().get(ExecutorConnection.class);
              sent.writtenTo(connection);
              connection.send(request, listener);
            });
    return sent;
  }

  private static SentRequest notSent(SentRequest sent, EventLoop loop, AnswerListener listener) {
    loop.execute(() -> listener.onEnd(new DispatchResult.NotSent(NotSentCause.NO_CONNECTION), 0));
    return sent;
  }

  private ChannelFuture connect(ExecutorPool pool, EventLoop loop) {
    ChannelFuture opening = bootstrap.clone(loop).connect(pool.address());
    opening.channel().closeFuture().addListener(closed -> pool.connectionClosed());
    opening.addListener(opened -> count(opened.isSuccess()));
    return opening;
  }

  private void count(boolean opened) {
    if (opened) {
      counters.opened().increment();
    } else {
      counters.connectFailed().increment();
    }
  }

  /**
   * Probes the idle connections that have been silent for at least the given time. Connections that
   * answered their previous probe return to their pools.
   *
   * @param dead receives, on an event loop, an executor whose connection did not answer its probe
   */
  public void probe(Duration silence, Consumer<ExecutorId> dead) {
    for (SentRequest probe = answeredProbes.poll(); probe != null; probe = answeredProbes.poll()) {
      release(probe);
    }
    pools.forEach((id, pool) -> probe(id, pool, silence.toNanos(), dead));
  }

  private void probe(
      ExecutorId executor, ExecutorPool pool, long silentNanos, Consumer<ExecutorId> dead) {
    for (ExecutorConnection connection : pool.removeSilent(silentNanos)) {
      SentRequest sent = new SentRequest(pool);
      sent.writtenTo(connection);
      probeCount++;
      ExecutorRequest request =
          ExecutorRequest.probe("probe-" + probeCount, System.nanoTime() + PROBE_TIMEOUT_NANOS);
      connection.send(
          request,
          new ProbeListener(
              () -> answeredProbes.add(sent),
              () -> {
                counters.probeFailed().increment();
                dead.accept(executor);
              }));
    }
  }

  /** Returns the connection of an ended dispatch to its pool. */
  public void release(SentRequest sent) {
    sent.connection().ifPresent(connection -> sent.pool().release(connection));
  }

  /** Opens a connection and closes it at once; the sink receives whether it could be opened. */
  public void checkPath(ExecutorId executor, Consumer<Boolean> sink) {
    ExecutorPool pool = pools.get(executor);
    if (pool == null) {
      sink.accept(false);
      return;
    }
    InetSocketAddress address = pool.address();
    bootstrap
        .clone(loops.next())
        .connect(address)
        .addListener(
            (ChannelFuture opened) -> {
              opened.channel().close();
              sink.accept(opened.isSuccess());
            });
  }

  /** Closes the idle connections to an executor. */
  public void closeIdle(ExecutorId executor) {
    Optional.ofNullable(pools.get(executor)).ifPresent(ExecutorPool::closeIdle);
  }

  /** Closes all idle connections. */
  public void close() {
    pools.values().forEach(ExecutorPool::closeIdle);
  }

  private final class PipelineInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      channel.pipeline().addLast(new HttpClientCodec());
      channel.pipeline().addLast(new ExecutorConnection(channel, counters));
    }
  }
}
