package org.fescuehook.net.batch;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.wire.batch.ForwardedCall;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes calls that other entry VMs pass on. */
public final class CallServer {

  private static final Logger LOGGER = LoggerFactory.getLogger(CallServer.class);

  private final EventLoopGroup loops;
  private final CallPort port;
  private Optional<Channel> listening = Optional.empty();

  /** Creates a server that does not listen yet. */
  public CallServer(EventLoopGroup loops, CallPort port) {
    this.loops = loops;
    this.port = port;
  }

  /**
   * Listens.
   *
   * @return where it listens
   * @throws IOException if the address cannot be bound
   */
  public InetSocketAddress start(InetSocketAddress address) throws IOException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Initializer());
    var bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot bind " + address, bound.cause());
    }
    listening = Optional.of(bound.channel());
    return (InetSocketAddress) bound.channel().localAddress();
  }

  /** Stops listening. */
  public void close() {
    listening.ifPresent(Channel::close);
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel opened) {
      CallPipeline.assemble(
          opened.pipeline(), ForwardedCall.getDefaultInstance(), new CallHandler());
    }
  }

  private final class CallHandler extends SimpleChannelInboundHandler<ForwardedCall> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ForwardedCall message) {
      BatchCall call = CallCodec.decode(message);
      port.call(call, answer -> context.writeAndFlush(CallCodec.encode(message.getCall(), answer)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      EventLog.warn(
          LOGGER, BatchNetEvent.PEER_FAULT, context.channel().remoteAddress(), cause.getMessage());
      context.close();
    }
  }
}
