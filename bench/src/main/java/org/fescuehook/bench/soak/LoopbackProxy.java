package org.fescuehook.bench.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.fescuehook.bench.cluster.ClusterException;

/** Passes connections on to an address, and disturbs them by its mode. */
final class LoopbackProxy implements AutoCloseable {

  private static final long DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final InetSocketAddress target;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel listener;
  private volatile LinkMode mode = LinkMode.PASS;

  LoopbackProxy(EventLoopGroup group, InetSocketAddress target) throws ClusterException {
    this.target = target;
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            // Nothing is read before the connection to the target is there.
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel accepted) {
                    connect(accepted);
                  }
                });
    var bound =
        bootstrap
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ClusterException("bind", "proxy", bound.cause());
    }
    this.listener = bound.channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Disturbs what passes from now on; a reset also breaks the connections that are open. */
  void disturb(LinkMode next) {
    mode = next;
    if (next == LinkMode.RESET) {
      connections.forEach(LoopbackProxy::reset);
    }
  }

  @Override
  public void close() {
    listener.close().awaitUninterruptibly();
    connections.close().awaitUninterruptibly();
  }

  /** Both sides of a connection are on one event loop, so neither closes the other meanwhile. */
  private static void reset(Channel channel) {
    channel
        .eventLoop()
        .execute(
            () -> {
              if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
              }
            });
  }

  private void connect(Channel accepted) {
    connections.add(accepted);
    if (mode == LinkMode.RESET) {
      reset(accepted);
      return;
    }
    Bootstrap bootstrap =
        new Bootstrap()
            .group(accepted.eventLoop())
            .channel(NioSocketChannel.class)
            .handler(new Relay(accepted, true));
    Channel onward =
        bootstrap
            .connect(target)
            .addListener(
                connected -> {
                  if (connected.isSuccess()) {
                    accepted.config().setAutoRead(true);
                  } else {
                    accepted.close();
                  }
                })
            .channel();
    connections.add(onward);
    accepted.pipeline().addLast(new Relay(onward, false));
  }

  /** Passes one direction on to the other side. */
  private final class Relay extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private final boolean answers;
    private boolean dead;
    private long lastDue = System.nanoTime();

    Relay(Channel other, boolean answers) {
      this.other = other;
      this.answers = answers;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      LinkMode now = mode;
      dead |= now == LinkMode.SILENT || (now == LinkMode.ONE_WAY && answers);
      if (dead || !(message instanceof ByteBuf)) {
        ReferenceCountUtil.release(message);
        return;
      }
      long delay = now == LinkMode.DELAY ? DELAY_NANOS : 0;
      // What was delayed is not overtaken by what came after it.
      lastDue = Math.max(lastDue, System.nanoTime() + delay);
      long wait = lastDue - System.nanoTime();
      if (wait <= 0) {
        other.writeAndFlush(message);
      } else {
        context.executor().schedule(() -> other.writeAndFlush(message), wait, TimeUnit.NANOSECONDS);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      other.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
