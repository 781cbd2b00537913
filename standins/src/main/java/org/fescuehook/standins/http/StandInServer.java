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

/** An HTTP/1.1 server on a shared event loop group, with a limit of connections. */
public final class StandInServer implements AutoCloseable {
  private static final int BACKLOG = 1024;

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicLong rejected = new AtomicLong();
  private final Limits limits;
  private final Handler handler;
  private final Channel listener;

  /** Takes each request on an event loop, so it must not block. */
  @FunctionalInterface
  public interface Handler {
    /** Handles a request; a failure is answered by 400. */
    void handle(Exchange exchange) throws IOException;
  }

  /**
   * Limits of a server.
   *
   * @param connections connections open at a time; further ones are closed at accept
   * @param bodyBytes longest request body; longer ones are answered by 413
   */
  public record Limits(int connections, int bodyBytes) {}

  /**
   * Binds and starts to answer; port 0 chooses a port.
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
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childHandler(new Pipeline());
    var bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new StandInException("bind", address.toString(), bound.cause());
    }
    this.listener = bound.channel();
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
    connections.forEach(c -> c.pipeline().get(SilenceHandler.class).silenced = true);
  }

  @Override
  public void close() {
    listener.close().awaitUninterruptibly();
    connections.close().awaitUninterruptibly();
  }

  /** Builds the handlers of an accepted connection. */
  private final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      channel.closeFuture().addListener(f -> open.decrementAndGet());
      if (open.incrementAndGet() > limits.connections()) {
        rejected.incrementAndGet();
        channel.close();
        return;
      }
      channel
          .pipeline()
          .addLast(new SilenceHandler(), new HttpServerCodec(), new HttpServerKeepAliveHandler())
          .addLast(new HttpObjectAggregator(limits.bodyBytes()), new Dispatcher());
      connections.add(channel);
    }
  }

  /** Drops all that passes in either direction once silenced; the connection stays open. */
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

  /** Passes whole requests to the handler. */
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
