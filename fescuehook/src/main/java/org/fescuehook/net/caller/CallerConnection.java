package org.fescuehook.net.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;

/**
 * Handles one connection of a caller. Reads one whole request at a time; parts of pipelined
 * requests wait until the current request is answered, so that answers keep the order of requests.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private enum Phase {
    IDLE,
    RECEIVING,
    ANSWERING,
    /** The answer is complete, but has not been sent whole. */
    SENDING,
    CLOSING
  }

  /** Delay above zero, so that the event loop reads from its sockets before a due close. */
  private static final long CLOSE_DELAY_MILLIS = 1;

  private final Channel channel;
  private final RequestPreferences preferences;
  private final RequestMetrics metrics;
  private final ProblemWriter problems;
  private final RequestHeadCheck check;
  private final DrainState drain;
  private final Consumer<CallerExchange> sink;
  private final Deque<HttpObject> pipelined = new ArrayDeque<>();
  private Phase phase = Phase.IDLE;
  private long phaseSinceNanos = System.nanoTime();
  private boolean bytesWhileAnswering;
  private boolean keepAlive = true;
  private boolean headOnly;
  private Optional<HttpRequest> head = Optional.empty();
  private CompositeByteBuf body = Unpooled.compositeBuffer();
  private Optional<CallerExchange> exchange = Optional.empty();

  CallerConnection(
      Channel channel,
      RequestPreferences preferences,
      RequestMetrics metrics,
      ProblemWriter problems,
      DrainState drain,
      Consumer<CallerExchange> sink) {
    this.channel = channel;
    this.preferences = preferences;
    this.metrics = metrics;
    this.problems = problems;
    this.check = new RequestHeadCheck(preferences);
    this.drain = drain;
    this.sink = sink;
  }

  Channel channel() {
    return channel;
  }

  /** Returns whether the current request is a HEAD request, whose answer has no body. */
  boolean headOnly() {
    return headOnly;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    long shorterMillis = Math.min(preferences.headerTimeout().toMillis(), idleMillis());
    long intervalMillis = Math.max(1, shorterMillis / 4);
    var timeoutCheck =
        channel
            .eventLoop()
            .scheduleAtFixedRate(
                this::checkTimeouts, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    channel.closeFuture().addListener(closed -> timeoutCheck.cancel(false));
  }

  private long idleMillis() {
    return preferences.idleTimeout().toMillis();
  }

  /**
   * Closes the connection if it was idle for too long or the caller does not take the end of its
   * answer, and refuses a request that did not arrive whole within the header timeout.
   */
  private void checkTimeouts() {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - phaseSinceNanos);
    boolean idleTooLong = elapsedMillis >= idleMillis();
    if (phase == Phase.IDLE && (idleTooLong || drain.closesIdle(elapsedMillis))) {
      closeAfterNextRead();
      return;
    }
    if (phase == Phase.SENDING && idleTooLong) {
      close();
      return;
    }
    if (phase == Phase.RECEIVING && elapsedMillis >= preferences.headerTimeout().toMillis()) {
      refuseAndClose(RefusalReason.BAD_REQUEST, "the request did not arrive whole in time");
    }
  }

  /**
   * Closes the connection unless a request arrives in the next round of the event loop. A loop that
   * was busy may run a due check before it reads what has arrived meanwhile; a task with a delay
   * runs after the loop has read from its sockets once more.
   */
  private void closeAfterNextRead() {
    long idleSinceNanos = phaseSinceNanos;
    channel
        .eventLoop()
        .schedule(
            () -> {
              if (phase == Phase.IDLE && phaseSinceNanos == idleSinceNanos) {
                close();
              }
            },
            CLOSE_DELAY_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Records that bytes arrived. Called before they are decoded. */
  void bytesArrived() {
    if (phase == Phase.IDLE) {
      enter(Phase.RECEIVING);
    } else if (isAnswering()) {
      bytesWhileAnswering = true;
    }
  }

  private boolean isAnswering() {
    return phase == Phase.ANSWERING || phase == Phase.SENDING;
  }

  private void enter(Phase next) {
    phase = next;
    phaseSinceNanos = System.nanoTime();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    HttpObject part = (HttpObject) message;
    if (isAnswering()) {
      pipelined.addLast(part);
      channel.config().setAutoRead(false);
      return;
    }
    read(part);
  }

  private void read(HttpObject part) {
    if (phase == Phase.CLOSING) {
      ReferenceCountUtil.release(part);
      return;
    }
    if (part.decoderResult().isFailure()) {
      ReferenceCountUtil.release(part);
      Refusal refusal = RequestHeadCheck.refusal(part.decoderResult().cause());
      refuseAndClose(refusal.reason(), refusal.detail());
      return;
    }
    if (part instanceof HttpRequest request) {
      begin(request);
    }
    if (part instanceof HttpContent content) {
      receive(content);
    }
  }

  private void begin(HttpRequest request) {
    if (phase == Phase.IDLE) {
      enter(Phase.RECEIVING);
    }
    headOnly = request.method().equals(HttpMethod.HEAD);
    try {
      check.check(request);
    } catch (MalformedRequestException e) {
      refuseAndClose(e.reason(), e.getMessage());
      return;
    }
    head = Optional.of(request);
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void receive(HttpContent content) {
    if (phase != Phase.RECEIVING || head.isEmpty()) {
      content.release();
      return;
    }
    ByteBuf piece = content.content();
    if (body.readableBytes() + piece.readableBytes() > preferences.maxBodyBytes()) {
      content.release();
      refuseAndClose(RefusalReason.TOO_LARGE, "the body is larger than the bound");
      return;
    }
    body.addComponent(true, piece);
    if (content instanceof LastHttpContent) {
      complete();
    }
  }

  private void complete() {
    HttpRequest request = head.orElseThrow();
    ByteBuf whole = body;
    head = Optional.empty();
    body = Unpooled.compositeBuffer();
    keepAlive = HttpUtil.isKeepAlive(request);
    bytesWhileAnswering = false;
    enter(Phase.ANSWERING);
    CallerExchange started = new CallerExchange(this, request, whole, metrics, problems);
    exchange = Optional.of(started);
    metrics.inFlight().incrementAndGet();
    sink.accept(started);
  }

  /** Sets the Connection header of an answer after which this connection is closed. */
  void prepare(HttpResponse answer) {
    keepAlive = keepAlive && !drain.draining();
    if (!keepAlive) {
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /**
   * Waits until the answer is sent. Called after its last part was written, which may still be in
   * the channel's buffer if the caller reads slowly.
   */
  void answered() {
    exchange = Optional.empty();
    enter(Phase.SENDING);
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> answerSent());
  }

  /** Continues with the next request, or closes the connection. */
  private void answerSent() {
    metrics.inFlight().decrementAndGet();
    if (phase == Phase.CLOSING) {
      return;
    }
    if (!keepAlive) {
      close();
      return;
    }
    enter(bytesWhileAnswering ? Phase.RECEIVING : Phase.IDLE);
    // Runs as a task of its own, so that many pipelined requests do not recurse.
    channel.eventLoop().execute(this::readPipelined);
  }

  private void readPipelined() {
    while (!pipelined.isEmpty() && !isAnswering()) {
      read(pipelined.removeFirst());
    }
    if (pipelined.isEmpty() && phase != Phase.CLOSING) {
      channel.config().setAutoRead(true);
    }
  }

  private void refuseAndClose(RefusalReason reason, String detail) {
    metrics.refused(reason);
    FullHttpResponse answer = problems.write(Refusal.of(reason, detail));
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    enter(Phase.CLOSING);
    channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
  }

  private void close() {
    enter(Phase.CLOSING);
    channel.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    enter(Phase.CLOSING);
    pipelined.forEach(ReferenceCountUtil::release);
    pipelined.clear();
    body.release();
    exchange.ifPresent(
        pending -> {
          metrics.inFlight().decrementAndGet();
          pending.callerGone();
        });
    exchange = Optional.empty();
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
