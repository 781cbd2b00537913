package org.fescuehook.standins.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.fescuehook.standins.StandInException;

/**
 * An HTTP/1.1 server on a shared event loop group that limits its open connections. It can lose a
 * share of what reaches it, as if the network did.
 */
public final class StandInServer implements AutoCloseable {
  private static final int DEFAULT_BACKLOG = 1024;

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger openCount = new AtomicInteger();
  private final AtomicLong rejectedCount = new AtomicLong();
  private final AtomicInteger process = new AtomicInteger();
  private final Limits limits;
  private final Handler handler;
  private final Channel listener;
  private final AcceptGate gate;
  private volatile int lossPercent;

  /** Handles requests. It is called on an event loop, so it must not block. */
  @FunctionalInterface
  public interface Handler {
    /** Handles a request; an exception leads to a response with the status 400. */
    void handle(Exchange exchange) throws IOException;
  }

  /**
   * Limits of a server.
   *
   * @param connections maximum number of open connections; further ones are closed at accept
   * @param bodyBytes maximum size of a request body; larger ones get the status 413
   * @param backlog length of the queue of connections that wait to be accepted
   */
  public record Limits(int connections, int bodyBytes, int backlog) {

    /** Limits with a queue that is hardly ever full. */
    public Limits(int connections, int bodyBytes) {
      this(connections, bodyBytes, DEFAULT_BACKLOG);
    }
  }

  /**
   * Binds to an address and starts to serve; port 0 chooses a free port.
   *
   * @throws StandInException if the address cannot be bound
   */
  public StandInServer(
      EventLoopGroup group, InetSocketAddress address, Limits limits, Handler handler)
      throws StandInException {
    this.limits = limits;
    this.handler = handler;
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, limits.backlog())
            .childHandler(new ConnectionInitializer());
    var bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new StandInException("bind", address.toString(), bound.cause());
    }
    this.listener = bound.channel();
    this.gate = new AcceptGate(listener, limits.backlog());
  }

  /** Returns the address on which the server listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return openCount.get();
  }

  /** Returns how many connections were closed at accept because of the limit. */
  public long rejectedConnections() {
    return rejectedCount.get();
  }

  /**
   * Loses a share of what passes from now on, in both directions: data on connections that are open
   * is late, and connection attempts time out. With 100, nothing passes until the share changes.
   */
  public void lose(int percent) {
    lossPercent = percent;
    gate.lose(percent);
  }

  /**
   * Replaces the process that serves, so that requests that are held up do not reach the new one.
   */
  public void replaceProcess() {
    process.incrementAndGet();
  }

  /** Drops all further data on the connections that are open now, without closing them. */
  public void silenceOpenConnections() {
    connections.forEach(c -> c.pipeline().get(SilenceHandler.class).silenced = true);
  }

  @Override
  public void close() {
    listener.close().awaitUninterruptibly();
    connections.close().awaitUninterruptibly();
  }

  /** Sets up an accepted connection, or closes it if too many are open. */
  private final class ConnectionInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      channel.closeFuture().addListener(f -> openCount.decrementAndGet());
      if (openCount.incrementAndGet() > limits.connections()) {
        rejectedCount.incrementAndGet();
        channel.close();
        return;
      }
      channel
          .pipeline()
          .addLast(new SilenceHandler(), new LossHandler(() -> lossPercent, process::get))
          .addLast(new HttpServerCodec(), new HttpServerKeepAliveHandler())
          .addLast(new HttpObjectAggregator(limits.bodyBytes()), new Dispatcher());
      connections.add(channel);
    }
  }

  /** Drops all messages in both directions once silenced; the connection stays open. */
  private static final class SilenceHandler extends ChannelDuplexHandler {
    private volatile boolean silenced;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (silenced) {
        ReferenceCountUtil.release(message);
        return;
      }
      context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      if (silenced) {
        ReferenceCountUtil.release(message);
        return;
      }
      context.write(message, promise);
    }
  }

  /** Passes complete requests to the handler. */
  private final class Dispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      Exchange exchange = new Exchange(context, request);
      exchange.later(0, () -> handler.handle(exchange));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
