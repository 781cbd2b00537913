package org.fescuehook.net.peer;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts connections of other entry VMs and answers their messages. */
public final class PeerServer {

  private static final Logger LOGGER = LoggerFactory.getLogger(PeerServer.class);
  private static final int MAX_CONNECTIONS = 512;

  private final EventLoopGroup loops;
  private final IdentityPreferences identity;
  private final String incarnation;
  private final Duration silenceTimeout;
  private final PeerListener listener;
  private final MeterRegistry meters;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  /**
   * Creates a server that is not open yet.
   *
   * @param silenceTimeout time without a message after which a connection is closed
   */
  public PeerServer(
      EventLoopGroup loops,
      IdentityPreferences identity,
      String incarnation,
      Duration silenceTimeout,
      PeerListener listener,
      MeterRegistry meters) {
    this.loops = loops;
    this.identity = identity;
    this.incarnation = incarnation;
    this.silenceTimeout = silenceTimeout;
    this.listener = listener;
    this.meters = meters;
  }

  /**
   * Opens the port.
   *
   * @return the address in use
   * @throws IOException if the port cannot be opened
   */
  public InetSocketAddress start(InetSocketAddress address) throws IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Initializer())
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("bind peer port at " + address, bound.cause());
    }
    channels.add(bound.channel());
    return (InetSocketAddress) bound.channel().localAddress();
  }

  /** Closes the port and all connections. */
  public void close() {
    channels.close();
  }

  /** Counts and logs a refusal. */
  void refused(Channel channel, PeerRefusal refusal, String detail) {
    meters.counter("fescuehook.peer.refused", "reason", refusal.slug()).increment();
    EventLog.warn(LOGGER, PeerEvent.REFUSED, channel.remoteAddress(), refusal.slug(), detail);
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      if (channels.size() > MAX_CONNECTIONS) {
        refused(channel, PeerRefusal.TOO_MANY, "limit is " + MAX_CONNECTIONS);
        channel.close();
        return;
      }
      channels.add(channel);
      PeerPipeline.assemble(
          channel.pipeline(),
          new PeerServerHandler(PeerServer.this, identity, incarnation, silenceTimeout, listener));
    }
  }
}
