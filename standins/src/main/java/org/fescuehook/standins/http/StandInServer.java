package org.fescuehook.standins.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.fescuehook.standins.StandInException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An HTTP/1.1 server on a shared event loop group, with a limit of connections. */
public final class StandInServer implements AutoCloseable {
  private static final Logger LOGGER = LoggerFactory.getLogger(StandInServer.class);
  private static final int BACKLOG = 1024;

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicLong rejected = new AtomicLong();
  private final ServerLimits limits;
  private final ExchangeHandler handler;
  private final Channel listener;

  /**
   * Binds and starts to answer.
   *
   * @param group event loops, owned by the caller
   * @param address where to listen; port 0 chooses one
   * @throws StandInException if the address cannot be bound
   */
  public StandInServer(
      EventLoopGroup group, InetSocketAddress address, ServerLimits limits, ExchangeHandler handler)
      throws StandInException {
    this.limits = limits;
    this.handler = handler;
    this.listener = bind(group, address);
  }

  /** Returns where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Returns how many connections are open. */
  public int openConnections() {
    return open.get();
  }

  /** Returns how many connections were closed at accept, being too many. */
  public long rejectedConnections() {
    return rejected.get();
  }

  /** Lets all open connections go silent without closing them. */
  public void silenceOpenConnections() {
    connections.forEach(c -> c.pipeline().get(SilenceHandler.class).silence());
  }

  @Override
  public void close() {
    listener.close().awaitUninterruptibly();
    connections.close().awaitUninterruptibly();
  }

  private Channel bind(EventLoopGroup group, InetSocketAddress address) throws StandInException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childHandler(new Pipeline());
    var bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new StandInException("bind", address.toString(), bound.cause());
    }
    return bound.channel();
  }

  /** Builds the handlers of an accepted connection. */
  private final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (open.incrementAndGet() > limits.maxConnections()) {
        open.decrementAndGet();
        rejected.incrementAndGet();
        channel.close();
        return;
      }
      channel.closeFuture().addListener(f -> open.decrementAndGet());
      channel
          .pipeline()
          .addLast(new SilenceHandler())
          .addLast(new HttpServerCodec())
          .addLast(new HttpServerKeepAliveHandler())
          .addLast(new HttpObjectAggregator(limits.maxBodyBytes()))
          .addLast(new Dispatcher());
      connections.add(channel);
    }
  }

  /** Passes whole requests to the handler. */
  private final class Dispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      Exchange exchange = new Exchange(context, request);
      try {
        handler.handle(exchange);
      } catch (RuntimeException e) {
        exchange.error(400, "bad-request", String.valueOf(e.getMessage()));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (!(cause instanceof IOException)) {
        LOGGER.warn("connection from {}", context.channel().remoteAddress(), cause);
      }
      context.close();
    }
  }
}
