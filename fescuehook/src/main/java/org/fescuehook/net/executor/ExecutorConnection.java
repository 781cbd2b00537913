package org.fescuehook.net.executor;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.fescuehook.logic.dispatch.DispatchResult;

/** Handles one connection to an executor, which carries one exchange at a time. */
final class ExecutorConnection extends ChannelInboundHandlerAdapter {
  private final Channel channel;
  private final ExchangeCounters counters;
  private final long openedNanos = System.nanoTime();
  private volatile long lastReadNanos = openedNanos;
  private volatile boolean reusable = true;
  private volatile boolean used;
  // Accessed on the event loop only.
  private Optional<Exchange> exchange = Optional.empty();

  ExecutorConnection(Channel channel, ExchangeCounters counters) {
    this.channel = channel;
    this.counters = counters;
  }

  /** Sends a request. The listener receives the end exactly once. Any thread. */
  void send(ExecutorRequest request, AnswerListener listener) {
    boolean fresh = !used;
    used = true;
    channel.eventLoop().execute(() -> begin(request, listener, fresh));
  }

  private void begin(ExecutorRequest request, AnswerListener listener, boolean fresh) {
    if (!channel.isActive() || exchange.isPresent()) {
      listener.onEnd(new DispatchResult.NotSent(DispatchResult.NotSentCause.CONNECTION_CLOSED), 0);
      return;
    }
    if (request.deadlineNanos() - System.nanoTime() <= 0) {
      listener.onEnd(new DispatchResult.NotSent(DispatchResult.NotSentCause.DEADLINE), 0);
      return;
    }
    Exchange started = new Exchange(channel, request, listener, fresh);
    exchange = Optional.of(started);
    started.write(this::finish);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    lastReadNanos = System.nanoTime();
    if (exchange.isEmpty()) {
      counters.lateAnswer().increment();
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    Optional<DispatchResult> end = read(exchange.get(), (HttpObject) message);
    end.ifPresent(this::finish);
  }

  private Optional<DispatchResult> read(Exchange running, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      return Optional.of(running.failed(DispatchResult.FailureKind.BAD_ANSWER));
    }
    Optional<DispatchResult> end = Optional.empty();
    if (message instanceof HttpResponse head
        && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
      end = running.head(head);
    }
    if (end.isPresent() || !running.hasHead()) {
      ReferenceCountUtil.release(message);
      return end;
    }
    if (message instanceof HttpContent content) {
      return running.content(content);
    }
    return Optional.empty();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    reusable = false;
    exchange.ifPresent(running -> finish(running.failed(running.connectionLossKind())));
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  /** Ends the exchange in progress, and closes the connection if the exchange failed. */
  private void finish(DispatchResult end) {
    if (exchange.isEmpty()) {
      return;
    }
    Exchange ended = exchange.get();
    exchange = Optional.empty();
    boolean whole = !(end instanceof DispatchResult.Failed);
    if (!whole || !ended.keepAlive()) {
      reusable = false;
      channel.close();
    }
    if (!channel.config().isAutoRead()) {
      channel.config().setAutoRead(true);
    }
    ended.end(end);
  }

  Channel channel() {
    return channel;
  }

  /** Returns whether another request may be sent. */
  boolean reusable() {
    return reusable && channel.isActive();
  }

  long openedNanos() {
    return openedNanos;
  }

  /** Returns when bytes were last received, or the connection was opened if none were. */
  long lastReadNanos() {
    return lastReadNanos;
  }
}
