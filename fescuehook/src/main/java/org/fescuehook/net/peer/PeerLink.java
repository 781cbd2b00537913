package org.fescuehook.net.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.ConfigurationQuery;
import org.fescuehook.wire.Hello;
import org.fescuehook.wire.OutcomeQuery;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.PeerMessage;
import org.fescuehook.wire.RequestKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains the connection that this VM opens to one peer. The connection is closed and opened
 * again if the peer does not answer a heartbeat within the timeout. All state is confined to one
 * event loop.
 */
final class PeerLink {

  private static final Logger LOGGER = LoggerFactory.getLogger(PeerLink.class);
  private static final int MAX_QUERIES = 4096;
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);

  private final EventLoop loop;
  private final VmId peer;
  private final InetSocketAddress address;
  private final PeerMessage hello;
  private final Duration timeout;
  private final PeerListener listener;
  private final Map<Long, Consumer<Optional<OutcomeReply>>> queries = new HashMap<>();
  private Optional<Channel> channel = Optional.empty();
  private Optional<Hello> peerHello = Optional.empty();
  private boolean connecting;
  private boolean closed;
  private int failures;
  private long lastHeardNanos;
  private long nextConnectNanos = System.nanoTime();
  private long nextQuery;

  PeerLink(
      EventLoop loop,
      VmId peer,
      InetSocketAddress address,
      PeerMessage hello,
      Duration timeout,
      PeerListener listener) {
    this.loop = loop;
    this.peer = peer;
    this.address = address;
    this.hello = hello;
    this.timeout = timeout;
    this.listener = listener;
  }

  /** Returns the address of the peer. */
  InetSocketAddress address() {
    return address;
  }

  /** Sends a heartbeat, or opens the connection if it is down or the peer has timed out. */
  void heartbeat() {
    loop.execute(this::sendHeartbeatOrConnect);
  }

  /**
   * Requests the peer's configuration if its revision plus one is greater than the given number.
   * Does nothing while the link is down.
   */
  void askConfiguration(long aboveRevisionPlusOne) {
    ConfigurationQuery query =
        ConfigurationQuery.newBuilder().setAboveRevisionPlusOne(aboveRevisionPlusOne).build();
    loop.execute(() -> send(PeerMessage.newBuilder().setConfigurationQuery(query).build()));
  }

  /**
   * Requests the outcome of a request. The sink is called once; it receives empty if the peer does
   * not reply within the timeout.
   */
  void askOutcome(RequestKey key, Consumer<Optional<OutcomeReply>> sink) {
    loop.execute(() -> sendOutcomeQuery(key, sink));
  }

  /** Closes the connection; it is not opened again. */
  void close() {
    loop.execute(
        () -> {
          closed = true;
          disconnect("closed");
        });
  }

  private void sendHeartbeatOrConnect() {
    if (channel.isEmpty()) {
      connect();
      return;
    }
    if (System.nanoTime() - lastHeardNanos > timeout.toNanos()) {
      disconnect("no answer within " + timeout.toMillis() + " ms");
      connect();
      return;
    }
    if (peerHello.isPresent()) {
      send(PeerMessage.newBuilder().setHeartbeat(listener.heartbeat()).build());
    }
  }

  private void connect() {
    if (closed || connecting || System.nanoTime() - nextConnectNanos < 0) {
      return;
    }
    connecting = true;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
        .handler(new Initializer())
        .connect(address)
        .addListener((ChannelFuture opened) -> connected(opened));
  }

  private void connected(ChannelFuture opened) {
    connecting = false;
    if (!opened.isSuccess()) {
      scheduleReconnect();
      return;
    }
    if (closed) {
      opened.channel().close();
      return;
    }
    channel = Optional.of(opened.channel());
    lastHeardNanos = System.nanoTime();
    opened.channel().writeAndFlush(hello);
  }

  private void scheduleReconnect() {
    failures = Math.min(failures + 1, 10);
    long ceiling = Math.min(MAX_BACKOFF.toNanos(), TimeUnit.MILLISECONDS.toNanos(100L << failures));
    nextConnectNanos = System.nanoTime() + ThreadLocalRandom.current().nextLong(ceiling);
  }

  private void disconnect(String cause) {
    if (channel.isEmpty()) {
      return;
    }
    Channel closing = channel.get();
    channel = Optional.empty();
    peerHello = Optional.empty();
    closing.close();
    scheduleReconnect();
    Map<Long, Consumer<Optional<OutcomeReply>>> unanswered = Map.copyOf(queries);
    queries.clear();
    unanswered.values().forEach(sink -> sink.accept(Optional.empty()));
    EventLog.info(LOGGER, PeerEvent.LINK_DOWN, peer, address, cause);
  }

  private void sendOutcomeQuery(RequestKey key, Consumer<Optional<OutcomeReply>> sink) {
    if (peerHello.isEmpty() || queries.size() >= MAX_QUERIES) {
      sink.accept(Optional.empty());
      return;
    }
    long query = nextQuery++;
    queries.put(query, sink);
    loop.schedule(
        () -> resolve(query, Optional.empty()), timeout.toMillis(), TimeUnit.MILLISECONDS);
    send(
        PeerMessage.newBuilder()
            .setOutcomeQuery(OutcomeQuery.newBuilder().setQuery(query).setKey(key))
            .build());
  }

  private void resolve(long query, Optional<OutcomeReply> reply) {
    Optional.ofNullable(queries.remove(query)).ifPresent(sink -> sink.accept(reply));
  }

  private void send(PeerMessage message) {
    if (peerHello.isPresent()) {
      channel.ifPresent(open -> open.writeAndFlush(message));
    }
  }

  private void received(Channel from, PeerMessage message) {
    if (channel.filter(from::equals).isEmpty()) {
      return;
    }
    lastHeardNanos = System.nanoTime();
    if (peerHello.isEmpty()) {
      handleHello(message);
      return;
    }
    switch (message.getBodyCase()) {
      case HEARTBEAT -> listener.heard(PeerReports.of(peerHello.get(), message.getHeartbeat()));
      case OUTCOME_REPLY ->
          resolve(message.getOutcomeReply().getQuery(), Optional.of(message.getOutcomeReply()));
      case CONFIGURATION_REPLY -> listener.configurationReceived(message.getConfigurationReply());
      case REFUSED -> refusedBy(message.getRefused().getReason());
      case BODY_NOT_SET -> {}
      case HELLO, OUTCOME_QUERY, CONFIGURATION_QUERY ->
          disconnect("unexpected " + message.getBodyCase());
    }
  }

  private void handleHello(PeerMessage message) {
    if (message.hasRefused()) {
      refusedBy(message.getRefused().getReason());
      return;
    }
    Hello answer = message.getHello();
    if (!message.hasHello() || answer.getProtocolVersion() != PeerPipeline.VERSION) {
      disconnect("no hello of version " + PeerPipeline.VERSION);
      return;
    }
    if (!answer.getVm().equals(peer.value())) {
      disconnect("answered as " + answer.getVm());
      return;
    }
    peerHello = Optional.of(answer);
    failures = 0;
    EventLog.info(LOGGER, PeerEvent.LINK_UP, peer, address);
    sendHeartbeatOrConnect();
  }

  private void refusedBy(String reason) {
    EventLog.warn(LOGGER, PeerEvent.REFUSED_BY_PEER, peer, address, reason);
    disconnect("refused: " + reason);
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel opened) {
      PeerPipeline.assemble(opened.pipeline(), new Handler());
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<PeerMessage> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
      received(context.channel(), message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      lost(context, "closed by the peer");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      lost(context, String.valueOf(cause.getMessage()));
    }

    private void lost(ChannelHandlerContext context, String cause) {
      context.close();
      if (channel.filter(context.channel()::equals).isPresent()) {
        disconnect(cause);
      }
    }
  }
}
