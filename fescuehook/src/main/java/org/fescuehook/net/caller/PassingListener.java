package org.fescuehook.net.caller;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.fescuehook.logic.dispatch.DispatchEnd;
import org.fescuehook.net.executor.AnswerListener;
import org.fescuehook.net.executor.ExecutorHeaders;
import org.fescuehook.net.executor.HopByHopHeaders;

/** Passes the answer to one dispatch on to the caller. */
final class PassingListener implements AnswerListener {
  private final CallerExchange caller;
  private final BiConsumer<DispatchEnd, Long> whenEnded;

  /**
   * Creates the listener.
   *
   * @param whenEnded takes the end and how long the executor took, in milliseconds
   */
  PassingListener(CallerExchange caller, BiConsumer<DispatchEnd, Long> whenEnded) {
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
    caller.begin(new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers), flow);
  }

  @Override
  public void onContent(HttpContent content) {
    caller.pass(content);
  }

  @Override
  public void onEnd(DispatchEnd end, long executorNanos) {
    if (end instanceof DispatchEnd.Answered) {
      caller.answered(executorNanos);
    }
    if (end instanceof DispatchEnd.Failed failed && failed.answerStarted()) {
      caller.cut();
    }
    whenEnded.accept(end, TimeUnit.NANOSECONDS.toMillis(executorNanos));
  }
}
