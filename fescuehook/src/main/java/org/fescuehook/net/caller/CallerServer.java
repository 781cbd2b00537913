package org.fescuehook.net.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;

/** Listens on the service port, to which callers connect. */
final class CallerServer {
  private static final int BACKLOG = 1024;
  private static final int MAX_LINE_BYTES = 8 << 10;
  private static final int MAX_CHUNK_BYTES = 64 << 10;

  private final EventLoopGroup loops;
  private final RequestPreferences preferences;
  private final RequestMetrics metrics;
  private final Consumer<CallerExchange> sink;
  private final ProblemWriter problems = new ProblemWriter();
  private final DrainState drain = new DrainState();
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Optional<Channel> listening = Optional.empty();

  CallerServer(
      EventLoopGroup loops,
      RequestPreferences preferences,
      RequestMetrics metrics,
      Consumer<CallerExchange> sink) {
    this.loops = loops;
    this.preferences = preferences;
    this.metrics = metrics;
    this.sink = sink;
  }

  InetSocketAddress start(InetSocketAddress address) throws ServicePortException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new PipelineInitializer())
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ServicePortException("bind service port", address, bound.cause());
    }
    listening = Optional.of(bound.channel());
    return (InetSocketAddress) bound.channel().localAddress();
  }

  /**
   * Stops accepting connections. An open connection closes after its next answer, or once it has
   * been idle for the given time.
   */
  void drain(Duration idleLimit) {
    drain.begin(idleLimit);
    listening.ifPresent(Channel::close);
  }

  void close() {
    listening.ifPresent(Channel::close);
    connections.close();
  }

  private final class PipelineInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      int open = metrics.connections().incrementAndGet();
      channel.closeFuture().addListener(closed -> metrics.connections().decrementAndGet());
      if (open > preferences.maxCallerConnections()) {
        metrics.refused(RefusalReason.QUEUE_FULL);
        channel.close();
        return;
      }
      connections.add(channel);
      CallerConnection connection =
          new CallerConnection(channel, preferences, metrics, problems, drain, sink);
      HttpDecoderConfig decoding =
          new HttpDecoderConfig()
              .setMaxInitialLineLength(MAX_LINE_BYTES)
              .setMaxHeaderSize(preferences.maxHeaderBytes())
              .setMaxChunkSize(MAX_CHUNK_BYTES)
              .setStrictLineParsing(true);
      channel
          .pipeline()
          .addLast(new ArrivalNotifier(connection))
          .addLast(new StrictRequestDecoder(decoding))
          .addLast(new AnswerEncoder(connection::headOnly))
          .addLast(connection);
    }
  }

  /** Notifies the connection of received bytes before the decoder has a whole request head. */
  private static final class ArrivalNotifier extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    ArrivalNotifier(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof ByteBuf bytes && bytes.isReadable()) {
        connection.bytesArrived();
      }
      context.fireChannelRead(message);
    }
  }
}
