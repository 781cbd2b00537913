package org.fescuehook.net.operator;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles one connection of an operator; answers its calls in order, one at a time. */
final class OperatorHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final Logger LOGGER = LoggerFactory.getLogger(OperatorHandler.class);
  private static final int MAX_PIPELINED = 16;
  private static final int ANSWER_TIMEOUT_SECONDS = 20;

  private final OperatorToken token;
  private final OperatorRouter router;
  private final MeterRegistry meters;
  private final Deque<Call> waiting = new ArrayDeque<>();
  private boolean busy;
  private long currentNumber;

  OperatorHandler(OperatorToken token, OperatorRouter router, MeterRegistry meters) {
    this.token = token;
    this.router = router;
    this.meters = meters;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      refuseMalformed(context, request.decoderResult().cause());
      return;
    }
    if (waiting.size() >= MAX_PIPELINED) {
      count("pipelined");
      context.close();
      return;
    }
    waiting.add(Call.of(request));
    next(context);
  }

  private void next(ChannelHandlerContext context) {
    if (busy || waiting.isEmpty()) {
      return;
    }
    busy = true;
    Call call = waiting.poll();
    if (!OperatorRouter.isServedWithoutToken(call.target.path())
        && !token.admits(call.authorization)) {
      count("token");
      EventLog.warn(
          LOGGER,
          OperatorEvent.TOKEN_REFUSED,
          call.method,
          call.target.path(),
          context.channel().remoteAddress());
      answer(context, call, OperatorAnswer.error(401, "token", "a valid bearer token is needed"));
      return;
    }
    if (call.target.path().equals("/drain")) {
      EventLog.info(LOGGER, OperatorEvent.DRAIN_ASKED, context.channel().remoteAddress());
    }
    long number = ++currentNumber;
    context
        .executor()
        .schedule(() -> expire(context, call, number), ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    router.route(
        call.method,
        call.target,
        call.body,
        answer -> context.executor().execute(() -> answerOnce(context, call, number, answer)));
  }

  private void answerOnce(
      ChannelHandlerContext context, Call call, long number, OperatorAnswer answer) {
    if (busy && number == currentNumber) {
      answer(context, call, answer);
    }
  }

  private void expire(ChannelHandlerContext context, Call call, long number) {
    if (!busy || number != currentNumber) {
      return;
    }
    count("no-answer");
    answer(
        context,
        call,
        OperatorAnswer.error(504, "no-answer", "no decision in time; what was asked may be done"));
  }

  private void answer(ChannelHandlerContext context, Call call, OperatorAnswer answer) {
    ByteBuf body = Unpooled.copiedBuffer(answer.body(), StandardCharsets.UTF_8);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), body);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
    if (answer.retryAfterSeconds() > 0) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, answer.retryAfterSeconds());
    }
    if (answer.status() == HttpResponseStatus.UNAUTHORIZED.code()) {
      response.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
    }
    HttpUtil.setContentLength(response, body.readableBytes());
    if (!call.keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    currentNumber++;
    ChannelFuture written = context.writeAndFlush(response);
    if (!call.keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
      return;
    }
    busy = false;
    next(context);
  }

  private void refuseMalformed(ChannelHandlerContext context, Throwable cause) {
    count("malformed");
    EventLog.warn(
        LOGGER,
        OperatorEvent.BAD_REQUEST,
        context.channel().remoteAddress(),
        String.valueOf(cause.getMessage()));
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    HttpUtil.setContentLength(response, 0);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  private void count(String reason) {
    meters.counter("fescuehook.operator.refused", "reason", reason).increment();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  /** A call, copied from Netty's buffers. */
  private record Call(
      HttpMethod method,
      QueryStringDecoder target,
      String body,
      Optional<String> authorization,
      boolean keepAlive) {

    static Call of(FullHttpRequest request) {
      return new Call(
          request.method(),
          new QueryStringDecoder(request.uri()),
          request.content().toString(StandardCharsets.UTF_8),
          Optional.ofNullable(request.headers().get(HttpHeaderNames.AUTHORIZATION)),
          HttpUtil.isKeepAlive(request));
    }
  }
}
