package org.fescuehook.net.batch;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.fescuehook.wire.batch.ForwardedAnswer;
import org.fescuehook.wire.batch.ForwardedCall;

/** Opens TCP connections to a VM on one event loop. */
public final class NettyPeerConnector implements PeerConnector {

  /** Longest time to connect. A round trip between failure domains takes about 1 ms. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  private final EventLoop loop;
  private final InetSocketAddress peer;

  /** Creates a connector; it opens no connection yet. */
  public NettyPeerConnector(EventLoop loop, InetSocketAddress peer) {
    this.loop = loop;
    this.peer = peer;
  }

  @Override
  public void connect(Listener listener) {
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
        .handler(new Initializer(listener))
        .connect(peer)
        .addListener((ChannelFuture opened) -> notifyListener(opened, listener));
  }

  private static void notifyListener(ChannelFuture opened, Listener listener) {
    if (opened.isSuccess()) {
      listener.opened(new ChannelConnection(opened.channel()));
    } else {
      listener.failed(String.valueOf(opened.cause().getMessage()));
    }
  }

  /** A connection over a channel; connections over the same channel are equal. */
  private record ChannelConnection(Channel channel) implements Connection {
    @Override
    public void send(ForwardedCall message, Runnable onUnsent) {
      // A write fails only if the socket has not taken the whole message, and a peer cannot decode
      // a part of one.
      channel
          .writeAndFlush(message)
          .addListener(
              written -> {
                if (!written.isSuccess()) {
                  onUnsent.run();
                }
              });
    }

    @Override
    public void close() {
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private static final class Initializer extends ChannelInitializer<SocketChannel> {
    private final Listener listener;

    Initializer(Listener listener) {
      this.listener = listener;
    }

    @Override
    protected void initChannel(SocketChannel opened) {
      CallPipeline.assemble(
          opened.pipeline(), ForwardedAnswer.getDefaultInstance(), new AnswerHandler(listener));
    }
  }

  private static final class AnswerHandler extends SimpleChannelInboundHandler<ForwardedAnswer> {
    private final Listener listener;

    AnswerHandler(Listener listener) {
      this.listener = listener;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ForwardedAnswer message) {
      listener.received(new ChannelConnection(context.channel()), message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      listener.closed(new ChannelConnection(context.channel()), "the peer closed it");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      listener.closed(new ChannelConnection(context.channel()), String.valueOf(cause.getMessage()));
      context.close();
    }
  }
}
