package org.fescuehook.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * A persistent connection that carries one request at a time. If a request gets no complete answer
 * in time, the connection is closed, so that its late answer is never taken for that of the next
 * request, which opens a new connection. All state is confined to one event loop.
 */
public final class HttpClientConnection {

  private static final int MAX_ANSWER_BYTES = 8 << 20;

  private final EventLoop loop;
  private final InetSocketAddress peer;
  private final Duration connectTimeout;
  private Optional<Channel> channel = Optional.empty();
  private Optional<Exchange> current = Optional.empty();

  /** Time at which the last request was started. */
  private long startedAtNanos;

  /** Time at which the first part of its answer arrived; empty if none has. */
  private OptionalLong firstPartAtNanos = OptionalLong.empty();

  private long lastPartAtNanos;

  /** Creates a connection that is opened with the first request. */
  public HttpClientConnection(EventLoop loop, InetSocketAddress peer, Duration connectTimeout) {
    this.loop = loop;
    this.peer = peer;
    this.connectTimeout = connectTimeout;
  }

  /**
   * Sends a request. No other request may be in progress.
   *
   * @param timeout time from now within which the complete answer must arrive
   * @param sink receives the result; called once, on the event loop
   */
  public void send(HttpCall call, Duration timeout, Consumer<HttpResult> sink) {
    loop.execute(() -> start(new Exchange(call, sink, OptionalLong.empty()), timeout));
  }

  /**
   * Sends a request unless the connection takes too long to open.
   *
   * @param sendBy time after which the request is not written, of {@link System#nanoTime()}
   */
  public void sendBy(long sendBy, HttpCall call, Duration timeout, Consumer<HttpResult> sink) {
    loop.execute(() -> start(new Exchange(call, sink, OptionalLong.of(sendBy)), timeout));
  }

  /** Returns whether a part of the current answer has arrived within the given time until now. */
  public boolean heardWithin(Duration time) {
    return current.isPresent()
        && firstPartAtNanos.isPresent()
        && System.nanoTime() - lastPartAtNanos <= time.toNanos();
  }

  /** Returns the time until the first part of the last answer arrived; zero if none has. */
  public long firstPartNanos() {
    return firstPartAtNanos.isPresent() ? firstPartAtNanos.getAsLong() - startedAtNanos : 0;
  }

  /** Closes the connection, even while it is being opened; a request in progress fails. */
  public void close() {
    loop.execute(
        () -> {
          current.ifPresent(exchange -> fail(exchange, new IOException("closed by this side")));
          closeChannel();
        });
  }

  private void start(Exchange exchange, Duration timeout) {
    if (current.isPresent()) {
      exchange.sink.accept(
          new HttpResult.Failed(new IllegalStateException("a request is under way"), false));
      return;
    }
    current = Optional.of(exchange);
    startedAtNanos = System.nanoTime();
    firstPartAtNanos = OptionalLong.empty();
    exchange.deadline =
        Optional.of(
            loop.schedule(
                () -> timedOut(exchange, timeout), timeout.toNanos(), TimeUnit.NANOSECONDS));
    if (channel.isPresent() && channel.get().isActive()) {
      write(exchange, channel.get());
      return;
    }
    open().addListener((ChannelFuture opened) -> connected(exchange, opened));
  }

  private void timedOut(Exchange exchange, Duration timeout) {
    fail(exchange, new TimeoutException("no answer within " + timeout.toMillis() + " ms"));
  }

  private ChannelFuture open() {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
        .handler(new Initializer())
        .connect(peer);
  }

  private void connected(Exchange exchange, ChannelFuture opened) {
    if (!opened.isSuccess()) {
      fail(exchange, opened.cause());
      return;
    }
    if (current.filter(exchange::equals).isEmpty()) {
      opened.channel().close();
      return;
    }
    channel = Optional.of(opened.channel());
    write(exchange, opened.channel());
  }

  private void write(Exchange exchange, Channel open) {
    if (exchange.sendBy.isPresent() && System.nanoTime() - exchange.sendBy.getAsLong() > 0) {
      fail(exchange, new TimeoutException("too late to be sent"));
      return;
    }
    exchange.maybeSent = true;
    open.writeAndFlush(encode(exchange.call))
        .addListener(
            (ChannelFuture written) -> {
              if (!written.isSuccess()) {
                fail(exchange, written.cause());
              }
            });
  }

  private FullHttpRequest encode(HttpCall call) {
    ByteBuf body = Unpooled.wrappedBuffer(call.body());
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.target(), body);
    request
        .headers()
        .set(HttpHeaderNames.HOST, peer.getAddress().getHostAddress() + ":" + peer.getPort())
        .set(HttpHeaderNames.CONTENT_TYPE, call.contentType());
    call.headers().forEach(request.headers()::set);
    HttpUtil.setContentLength(request, call.body().length);
    return request;
  }

  private void fail(Exchange exchange, Throwable cause) {
    if (current.filter(exchange::equals).isEmpty()) {
      return;
    }
    current = Optional.empty();
    closeChannel();
    exchange.end(new HttpResult.Failed(cause, exchange.maybeSent));
  }

  private void closeChannel() {
    Optional<Channel> closing = channel;
    channel = Optional.empty();
    closing.ifPresent(Channel::close);
  }

  private void answered(Channel from, FullHttpResponse response) {
    if (channel.filter(from::equals).isEmpty() || current.isEmpty()) {
      from.close();
      return;
    }
    Exchange exchange = current.get();
    current = Optional.empty();
    if (!HttpUtil.isKeepAlive(response)) {
      closeChannel();
    }
    exchange.end(
        new HttpResult.Answered(
            response.status().code(), ByteBufUtil.getBytes(response.content())));
  }

  private void lost(Channel from, Throwable cause) {
    if (channel.filter(from::equals).isEmpty()) {
      return;
    }
    channel = Optional.empty();
    from.close();
    current.ifPresent(exchange -> fail(exchange, cause));
  }

  /** A request in progress and the receiver of its result. */
  private static final class Exchange {
    private final HttpCall call;
    private final Consumer<HttpResult> sink;
    private Optional<ScheduledFuture<?>> deadline = Optional.empty();
    private final OptionalLong sendBy;
    private boolean maybeSent;

    Exchange(HttpCall call, Consumer<HttpResult> sink, OptionalLong sendBy) {
      this.call = call;
      this.sink = sink;
      this.sendBy = sendBy;
    }

    void end(HttpResult result) {
      deadline.ifPresent(pending -> pending.cancel(false));
      sink.accept(result);
    }
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel opened) {
      opened
          .pipeline()
          .addLast(new ProgressHandler())
          .addLast(new HttpClientCodec())
          .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
          .addLast(new AnswerHandler());
    }
  }

  private final class ProgressHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
      if (channel.filter(context.channel()::equals).isPresent()) {
        lastPartAtNanos = System.nanoTime();
        firstPartAtNanos =
            firstPartAtNanos.isPresent() ? firstPartAtNanos : OptionalLong.of(lastPartAtNanos);
      }
      context.fireChannelRead(part);
    }
  }

  private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (response.decoderResult().isFailure()) {
        lost(context.channel(), response.decoderResult().cause());
        return;
      }
      answered(context.channel(), response);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      lost(context.channel(), new IOException("connection closed by the peer"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      lost(context.channel(), cause);
    }
  }
}
