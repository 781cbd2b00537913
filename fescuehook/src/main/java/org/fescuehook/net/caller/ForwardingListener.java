package org.fescuehook.net.caller;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.fescuehook.logic.dispatch.DispatchResult;
import org.fescuehook.net.executor.AnswerListener;
import org.fescuehook.net.executor.ExecutorHeaders;
import org.fescuehook.net.executor.HopByHopHeaders;

/**
 * Forwards the answer to one dispatch to the caller. A small answer is buffered until it is
 * complete: if the executor breaks it off, the caller has received nothing, and a repeatable
 * request can be dispatched again. All calls come from one event loop.
 */
final class ForwardingListener implements AnswerListener {
  /** Size up to which a body is buffered; a larger answer is streamed. */
  private static final int MAX_BUFFERED_BYTES = 64 << 10;

  private final CallerExchange caller;
  private final BiConsumer<DispatchResult, Long> whenEnded;
  private final List<HttpContent> buffered = new ArrayList<>();
  private Optional<Runnable> bufferedHead = Optional.empty();
  private int bufferedBytes;
  private boolean forwarding;

  /**
   * Creates the listener.
   *
   * @param whenEnded receives the result and the time that the executor took, in milliseconds
   */
  ForwardingListener(CallerExchange caller, BiConsumer<DispatchResult, Long> whenEnded) {
    this.caller = caller;
    this.whenEnded = whenEnded;
  }

  @Override
  public void onHead(HttpResponse head, AnswerFlow flow) {
    HttpHeaders headers = head.headers().copy();
    boolean chunked = HttpUtil.isTransferEncodingChunked(head);
    HopByHopHeaders.remove(headers);
    headers.remove(ExecutorHeaders.REQUEST_TOKEN);
    if (chunked) {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    HttpResponse forwarded = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers);
    bufferedHead = Optional.of(() -> caller.begin(forwarded, flow));
  }

  @Override
  public void onContent(HttpContent content) {
    if (forwarding) {
      caller.forward(content);
      return;
    }
    buffered.add(content);
    bufferedBytes += content.content().readableBytes();
    if (content instanceof LastHttpContent || bufferedBytes > MAX_BUFFERED_BYTES) {
      forwardBuffered();
    }
  }

  private void forwardBuffered() {
    forwarding = true;
    bufferedHead.ifPresent(Runnable::run);
    buffered.forEach(caller::forward);
    buffered.clear();
  }

  @Override
  public void onEnd(DispatchResult result, long executorNanos) {
    DispatchResult end = asSeenByCaller(result);
    buffered.forEach(HttpContent::release);
    buffered.clear();
    if (end instanceof DispatchResult.Answered) {
      caller.answered(executorNanos);
    }
    if (end instanceof DispatchResult.Failed failed && failed.answerStarted()) {
      caller.cut();
    }
    whenEnded.accept(end, TimeUnit.NANOSECONDS.toMillis(executorNanos));
  }

  /** Returns the result as not started if the broken-off answer was still buffered. */
  private DispatchResult asSeenByCaller(DispatchResult end) {
    if (end instanceof DispatchResult.Failed(var kind, boolean started, boolean fresh)) {
      return new DispatchResult.Failed(kind, started && forwarding, fresh);
    }
    return end;
  }
}
