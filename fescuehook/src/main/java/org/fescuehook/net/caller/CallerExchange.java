package org.fescuehook.net.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.fescuehook.net.executor.AnswerListener.AnswerFlow;

/**
 * One request of a caller and its answer. Methods may be called by any thread; the work is done on
 * the event loop of the caller's connection, in the order of the calls.
 */
final class CallerExchange {
  /** Bytes of an answer on their way to a caller at which the executor is made to wait. */
  static final long HIGH_WATER_BYTES = 256 << 10;

  private static final long LOW_WATER_BYTES = 64 << 10;

  private final CallerConnection connection;
  private final HttpRequest head;
  private final ByteBuf body;
  private final long receivedNanos;
  private final RequestMetrics metrics;
  private final ProblemWriter problems;
  private final AtomicLong unwritten = new AtomicLong();
  private volatile Optional<AnswerFlow> flow = Optional.empty();
  private volatile boolean gone;
  // Touched by the event loop only.
  private boolean answerBegun;
  private boolean finished;
  private Runnable whenGone = () -> {};
  private Runnable whenFinished = () -> {};

  CallerExchange(
      CallerConnection connection,
      HttpRequest head,
      ByteBuf body,
      RequestMetrics metrics,
      ProblemWriter problems) {
    this.connection = connection;
    this.head = head;
    this.body = body;
    this.metrics = metrics;
    this.problems = problems;
    this.receivedNanos = System.nanoTime();
  }

  HttpRequest head() {
    return head;
  }

  /** Returns the whole body; released by whoever ends the handling of the request. */
  ByteBuf body() {
    return body;
  }

  long receivedNanos() {
    return receivedNanos;
  }

  EventLoop loop() {
    return channel().eventLoop();
  }

  private Channel channel() {
    return connection.channel();
  }

  private void onLoop(Runnable work) {
    if (loop().inEventLoop()) {
      work.run();
      return;
    }
    loop().execute(work);
  }

  /** Sets what to do when the caller leaves before its answer. Event loop only. */
  void whenGone(Runnable action) {
    whenGone = action;
  }

  /** Sets what to do when the answer is written or the caller is gone. Event loop only. */
  void whenFinished(Runnable action) {
    whenFinished = action;
    if (finished) {
      action.run();
    }
  }

  /** Answers with a refusal. */
  void refuse(Refusal refusal) {
    onLoop(
        () -> {
          if (!finished && !answerBegun) {
            metrics.refused(refusal.reason());
            write(problems.write(refusal));
          }
        });
  }

  /** Answers with what is at hand. */
  void answer(FullHttpResponse answer) {
    onLoop(
        () -> {
          if (finished || answerBegun) {
            answer.release();
            return;
          }
          write(answer);
        });
  }

  private void write(FullHttpResponse answer) {
    answerBegun = true;
    connection.prepare(answer);
    channel().writeAndFlush(answer);
    finish();
  }

  /** Begins a streamed answer. */
  void begin(HttpResponse answer, AnswerFlow answerFlow) {
    flow = Optional.of(answerFlow);
    onLoop(
        () -> {
          if (finished) {
            answerFlow.reading(true);
            return;
          }
          answerBegun = true;
          connection.prepare(answer);
          channel().write(answer);
        });
  }

  /** Passes on a piece of a streamed answer, and releases it. */
  void pass(HttpContent content) {
    int size = content.content().readableBytes();
    if (unwritten.addAndGet(size) > HIGH_WATER_BYTES && !gone) {
      flow.ifPresent(reading -> reading.reading(false));
    }
    onLoop(() -> write(content, size));
  }

  private void write(HttpContent content, int size) {
    if (finished) {
      content.release();
      return;
    }
    boolean last = content instanceof LastHttpContent;
    channel().writeAndFlush(content).addListener(written -> written(size));
    if (last) {
      finish();
    }
  }

  private void written(int size) {
    if (unwritten.addAndGet(-size) < LOW_WATER_BYTES) {
      flow.ifPresent(reading -> reading.reading(true));
    }
  }

  /** Notes that a streamed answer ended whole. */
  void answered(long executorNanos) {
    onLoop(
        () -> {
          if (!gone) {
            metrics.answered(System.nanoTime() - receivedNanos, executorNanos);
          }
        });
  }

  /** Cuts the connection, since the rest of the answer will never come. */
  void cut() {
    onLoop(
        () -> {
          if (!finished) {
            metrics.cut();
            channel().close();
          }
        });
  }

  private void finish() {
    finished = true;
    whenFinished.run();
    connection.answered();
  }

  /** Notes that the caller is gone. Event loop only. */
  void callerGone() {
    gone = true;
    if (finished) {
      return;
    }
    finished = true;
    flow.ifPresent(reading -> reading.reading(true));
    whenGone.run();
    whenFinished.run();
  }
}
