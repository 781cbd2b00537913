package org.fescuehook.platform;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.fescuehook.logic.batch.BatchCommand;

/**
 * Tells which executors this VM can connect to. It sends no request, so that executors notice
 * nothing but a connection that is closed again. All state is confined to one event loop.
 */
public final class ExecutorProbe {

  /**
   * Timeout for connecting, as short as the shortest timeout of an order. A VM must not count as
   * better connected because it waits longer than an owner.
   */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

  /**
   * Connections that must all open. A link that loses packets rarely lets all of them open in time.
   */
  private static final int CONNECTIONS = 3;

  private final EventLoop loop;
  private final Listener listener;

  /** Receives the outcomes of probes on the event loop. */
  @FunctionalInterface
  public interface Listener {

    /** Called when a probe has ended. */
    void probed(long number, Set<InetSocketAddress> reached);
  }

  /** Creates a probe without connections. */
  public ExecutorProbe(EventLoop loop, Listener listener) {
    this.loop = loop;
    this.listener = listener;
  }

  /** Probes one or more executors; the listener is called once all attempts have ended. */
  public void probe(BatchCommand.ProbeExecutors request) {
    Set<InetSocketAddress> addresses = Set.copyOf(request.addresses());
    loop.execute(
        () -> {
          Attempts attempts = new Attempts(request.number(), addresses.size());
          addresses.forEach(address -> attempts.connect(address, CONNECTIONS));
        });
  }

  /** The attempts of one probe. */
  private final class Attempts {
    private final long number;
    private final Set<InetSocketAddress> reached = new HashSet<>();
    private int pending;

    Attempts(long number, int pending) {
      this.number = number;
      this.pending = pending;
    }

    void connect(InetSocketAddress address, int remaining) {
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
          .handler(new ChannelInboundHandlerAdapter())
          .connect(address)
          .addListener((ChannelFuture opened) -> connected(address, remaining, opened));
    }

    private void connected(InetSocketAddress address, int remaining, ChannelFuture opened) {
      opened.channel().close();
      if (opened.isSuccess() && remaining > 1) {
        connect(address, remaining - 1);
        return;
      }
      if (opened.isSuccess()) {
        reached.add(address);
      }
      pending--;
      if (pending == 0) {
        listener.probed(number, Set.copyOf(reached));
      }
    }
  }
}
