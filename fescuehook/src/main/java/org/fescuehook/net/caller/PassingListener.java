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
final class PassingListener implements AnswerListener {
  /** Size up to which a body is buffered; a larger answer is streamed. */
  private static final int HELD_BYTES = 64 << 10;

  private final CallerExchange caller;
  private final BiConsumer<DispatchResult, Long> whenEnded;
  private final List<HttpContent> held = new ArrayList<>();
  private Optional<Runnable> heldHead = Optional.empty();
  private int heldBytes;
  private boolean passing;

  /**
   * Creates the listener.
   *
   * @param whenEnded receives the result and the time that the executor took, in milliseconds
   */
  PassingListener(CallerExchange caller, BiConsumer<DispatchResult, Long> whenEnded) {
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
    HttpResponse passed = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers);
    heldHead = Optional.of(() -> caller.begin(passed, flow));
  }

  @Override
  public void onContent(HttpContent content) {
    if (passing) {
      caller.pass(content);
      return;
    }
    held.add(content);
    heldBytes += content.content().readableBytes();
    if (content instanceof LastHttpContent || heldBytes > HELD_BYTES) {
      passOn();
    }
  }

  private void passOn() {
    passing = true;
    heldHead.ifPresent(Runnable::run);
    held.forEach(caller::pass);
    held.clear();
  }

  @Override
  public void onEnd(DispatchResult how, long executorNanos) {
    DispatchResult end = asTheCallerSees(how);
    held.forEach(HttpContent::release);
    held.clear();
    if (end instanceof DispatchResult.Answered) {
      caller.answered(executorNanos);
    }
    if (end instanceof DispatchResult.Failed failed && failed.answerStarted()) {
      caller.cut();
    }
    whenEnded.accept(end, TimeUnit.NANOSECONDS.toMillis(executorNanos));
  }

  /** Returns the result as not started if the broken-off answer was still buffered. */
  private DispatchResult asTheCallerSees(DispatchResult end) {
    if (end instanceof DispatchResult.Failed(var kind, boolean started, boolean fresh)) {
      return new DispatchResult.Failed(kind, started && passing, fresh);
    }
    return end;
  }
}
