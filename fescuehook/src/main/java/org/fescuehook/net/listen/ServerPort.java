package org.fescuehook.net.listen;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

/** A TCP port that accepts connections once it is opened. */
public final class ServerPort {

  private final EventLoopGroup loops;
  private final ChannelInitializer<SocketChannel> initializer;
  private Optional<Channel> listening = Optional.empty();

  /**
   * Creates a closed port.
   *
   * @param initializer sets up the pipeline of each accepted connection
   */
  public ServerPort(EventLoopGroup loops, ChannelInitializer<SocketChannel> initializer) {
    this.loops = loops;
    this.initializer = initializer;
  }

  /**
   * Opens the port.
   *
   * @return the address in use
   * @throws IOException if the address cannot be bound
   */
  public InetSocketAddress open(InetSocketAddress address) throws IOException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer);
    ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot bind " + address, bound.cause());
    }
    listening = Optional.of(bound.channel());
    return (InetSocketAddress) bound.channel().localAddress();
  }

  /** Stops accepting connections; open connections stay open. */
  public void close() {
    listening.ifPresent(Channel::close);
  }
}
