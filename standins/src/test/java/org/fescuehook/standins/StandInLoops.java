package org.fescuehook.standins;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Event loops and addresses of a test. */
public final class StandInLoops implements AutoCloseable {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  public EventLoopGroup group() {
    return group;
  }

  public InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  @Override
  public void close() {
    group.shutdownGracefully();
  }
}
