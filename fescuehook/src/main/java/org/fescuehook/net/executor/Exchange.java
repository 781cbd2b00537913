package org.fescuehook.net.executor;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescuehook.logic.dispatch.DispatchResult;
import org.fescuehook.logic.dispatch.DispatchResult.FailureKind;

/** Performs one request and receives its answer on one connection. Event loop only. */
final class Exchange {
  private final Channel channel;
  private final ExecutorRequest request;
  private final AnswerListener listener;
  private final boolean fresh;
  private final ByteArrayOutputStream recorded = new ByteArrayOutputStream(0);
  private Optional<Future<?>> deadline = Optional.empty();
  private Optional<Future<?>> progress = Optional.empty();
  private Optional<HttpResponse> head = Optional.empty();
  private final long startNanos = System.nanoTime();
  private boolean notRun;
  private boolean recordedWhole = true;

  Exchange(Channel channel, ExecutorRequest request, AnswerListener listener, boolean fresh) {
    this.channel = channel;
    this.request = request;
    this.listener = listener;
    this.fresh = fresh;
  }

  /** Writes the request. From this call on, the executor may run it. */
  void write(Consumer<DispatchResult> finish) {
    long remainingNanos = request.deadlineNanos() - System.nanoTime();
    deadline =
        Optional.of(schedule(remainingNanos, () -> finish.accept(failed(FailureKind.DEADLINE))));
    if (!fresh && request.progressMillis() > 0) {
      long progressNanos = TimeUnit.MILLISECONDS.toNanos(request.progressMillis());
      progress =
          Optional.of(
              schedule(progressNanos, () -> finish.accept(failed(FailureKind.NO_PROGRESS))));
    }
    channel.writeAndFlush(message(remainingNanos)).addListener(written -> closeOnFailure(written));
  }

  private void closeOnFailure(Future<?> written) {
    if (!written.isSuccess()) {
      channel.close();
    }
  }

  private Future<?> schedule(long nanos, Runnable task) {
    return channel.eventLoop().schedule(task, Math.max(0, nanos), TimeUnit.NANOSECONDS);
  }

  private FullHttpRequest message(long remainingNanos) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            request.body().retainedDuplicate(),
            new DefaultHttpHeaders().add(request.headers()),
            DefaultHttpHeadersFactory.trailersFactory().newEmptyHeaders());
    message
        .headers()
        .set(ExecutorHeaders.REQUEST_TOKEN, request.token())
        .set(ExecutorHeaders.REQUEST_DEADLINE, deadlineHeaderMillis(remainingNanos))
        .set(ExecutorHeaders.ORGANISATION, request.organisation().value())
        .set(ExecutorHeaders.REPEATABLE, request.repeatable());
    boolean bodyExpected = request.body().isReadable() || methodHasBody(request.method());
    if (bodyExpected) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
    }
    return message;
  }

  private long deadlineHeaderMillis(long remainingNanos) {
    return request.probe() ? 0 : TimeUnit.NANOSECONDS.toMillis(remainingNanos);
  }

  private static boolean methodHasBody(HttpMethod method) {
    return method.equals(HttpMethod.POST)
        || method.equals(HttpMethod.PUT)
        || method.equals(HttpMethod.PATCH);
  }

  /** Handles the head of the answer; returns a failure if it does not answer this request. */
  Optional<DispatchResult> head(HttpResponse answer) {
    progress.ifPresent(timer -> timer.cancel(false));
    boolean tokenMatches =
        request.token().equals(answer.headers().get(ExecutorHeaders.REQUEST_TOKEN));
    if (!tokenMatches || head.isPresent() || !isSelfDelimiting(answer)) {
      return Optional.of(failed(FailureKind.BAD_ANSWER));
    }
    notRun =
        answer.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
            && "true".equalsIgnoreCase(answer.headers().get(ExecutorHeaders.NOT_RUN));
    if (!notRun) {
      listener.onHead(answer, on -> channel.config().setAutoRead(on));
    }
    head = Optional.of(answer);
    return Optional.empty();
  }

  /**
   * Returns whether the answer's headers determine where it ends. An answer that is delimited by
   * the end of the connection cannot be distinguished from one that was broken off.
   */
  private boolean isSelfDelimiting(HttpResponse answer) {
    if (HttpUtil.isContentLengthSet(answer) || HttpUtil.isTransferEncodingChunked(answer)) {
      return true;
    }
    boolean withoutBody =
        answer.status().equals(HttpResponseStatus.NO_CONTENT)
            || answer.status().equals(HttpResponseStatus.NOT_MODIFIED)
            || request.method().equals(HttpMethod.HEAD);
    return withoutBody;
  }

  /** Handles a part of the body; returns the result of the dispatch with the last part. */
  Optional<DispatchResult> content(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    recordBody(content);
    if (notRun) {
      content.release();
    } else {
      listener.onContent(content);
    }
    if (!last) {
      return Optional.empty();
    }
    return Optional.of(completeResult());
  }

  private void recordBody(HttpContent content) {
    int size = content.content().readableBytes();
    if (!recordedWhole || size == 0) {
      return;
    }
    if (recorded.size() + size > request.maxRecordedBytes()) {
      recordedWhole = false;
      recorded.reset();
      return;
    }
    recorded.writeBytes(ByteBufUtil.getBytes(content.content()));
  }

  private DispatchResult completeResult() {
    if (notRun) {
      return new DispatchResult.RefusedNotRun();
    }
    HttpResponse answer = head.orElseThrow();
    String type = answer.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    return new DispatchResult.Answered(
        answer.status().code(), type, recorded.toByteArray(), recordedWhole);
  }

  boolean hasHead() {
    return head.isPresent();
  }

  /** Returns whether the executor keeps the connection open after this answer. */
  boolean keepAlive() {
    return head.isPresent()
        && !head.get()
            .headers()
            .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)
        && head.get().protocolVersion().isKeepAliveDefault();
  }

  /** Returns the kind of failure that a loss of the connection is at this point. */
  FailureKind connectionLossKind() {
    return head.isPresent() ? FailureKind.BAD_ANSWER : FailureKind.CONNECTION_LOST;
  }

  DispatchResult failed(FailureKind kind) {
    boolean answerStarted = head.isPresent() && !notRun;
    return new DispatchResult.Failed(kind, answerStarted, fresh);
  }

  void end(DispatchResult end) {
    deadline.ifPresent(timer -> timer.cancel(false));
    progress.ifPresent(timer -> timer.cancel(false));
    listener.onEnd(end, System.nanoTime() - startNanos);
  }
}
