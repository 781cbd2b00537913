package org.fescuehook.net.operator;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.fescuehook.logic.control.ControlPort;

/** Listens on the operators' HTTP port. Without a token it binds to loopback addresses only. */
public final class OperatorServer {

  private static final int MAX_CONNECTIONS = 128;
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int IDLE_SECONDS = 60;

  private final EventLoopGroup loops;
  private final OperatorToken token;
  private final boolean tokenSet;
  private final OperatorRouter router;
  private final MeterRegistry meters;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  /** Creates a server that is not open yet. */
  public OperatorServer(
      EventLoopGroup loops,
      Optional<String> token,
      OperatorBackend backend,
      ControlPort control,
      MeterRegistry meters) {
    this.loops = loops;
    this.token = new OperatorToken(token);
    this.tokenSet = token.isPresent();
    this.router = new OperatorRouter(backend, control);
    this.meters = meters;
  }

  /**
   * Opens the port.
   *
   * @return the address in use
   * @throws IOException if the port cannot be opened, or no token is set and the address is not a
   *     loopback address
   */
  public InetSocketAddress start(InetSocketAddress address) throws IOException {
    if (!tokenSet && !address.getAddress().isLoopbackAddress()) {
      throw new IOException("bind operators' port at " + address + ": set a token or use loopback");
    }
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(new Initializer())
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("bind operators' port at " + address, bound.cause());
    }
    channels.add(bound.channel());
    return (InetSocketAddress) bound.channel().localAddress();
  }

  /** Closes the port and all connections. */
  public void close() {
    channels.close();
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      if (channels.size() > MAX_CONNECTIONS) {
        meters.counter("fescuehook.operator.refused", "reason", "connections").increment();
        channel.close();
        return;
      }
      channels.add(channel);
      channel
          .pipeline()
          .addLast(new ReadTimeoutHandler(IDLE_SECONDS))
          .addLast(new HttpServerCodec())
          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
          .addLast(new OperatorHandler(token, router, meters));
    }
  }
}
