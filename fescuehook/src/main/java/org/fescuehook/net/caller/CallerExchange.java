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
 * Represents one request of a caller and its answer. Unless stated otherwise, methods may be called
 * by any thread; they take effect on the event loop of the caller's connection, in the order of the
 * calls.
 */
final class CallerExchange {
  /** Unwritten bytes of an answer above which reading from the executor is paused. */
  static final long HIGH_WATER_BYTES = 256 << 10;

  /** Unwritten bytes of an answer below which reading from the executor resumes. */
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
  // The fields below are accessed on the event loop only.
  private boolean answerStarted;
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

  /** Returns the whole body. Whoever finishes handling the request must release it. */
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

  /** Sets the action to run if the caller disconnects before it is answered. Event loop only. */
  void whenGone(Runnable action) {
    whenGone = action;
  }

  /**
   * Sets the action to run when the answer is written or the caller has disconnected; runs it at
   * once if that has happened already. Event loop only.
   */
  void whenFinished(Runnable action) {
    whenFinished = action;
    if (finished) {
      action.run();
    }
  }

  /** Answers with a refusal, unless an answer has begun or the caller has disconnected. */
  void refuse(Refusal refusal) {
    onLoop(
        () -> {
          if (!finished && !answerStarted) {
            metrics.refused(refusal.reason());
            write(problems.write(refusal));
          }
        });
  }

  /** Sends a complete answer, unless an answer has begun or the caller has disconnected. */
  void answer(FullHttpResponse answer) {
    onLoop(
        () -> {
          if (finished || answerStarted) {
            answer.release();
            return;
          }
          write(answer);
        });
  }

  private void write(FullHttpResponse answer) {
    answerStarted = true;
    connection.prepare(answer);
    channel().writeAndFlush(answer);
    finish();
  }

  /** Sends the head of a streamed answer; {@code answerFlow} pauses and resumes the executor. */
  void begin(HttpResponse answer, AnswerFlow answerFlow) {
    flow = Optional.of(answerFlow);
    onLoop(
        () -> {
          if (finished) {
            answerFlow.setReading(true);
            return;
          }
          answerStarted = true;
          connection.prepare(answer);
          channel().write(answer);
        });
  }

  /** Forwards a part of a streamed answer to the caller, and releases it. */
  void forward(HttpContent content) {
    int size = content.content().readableBytes();
    if (unwritten.addAndGet(size) > HIGH_WATER_BYTES && !gone) {
      flow.ifPresent(flowControl -> flowControl.setReading(false));
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
      flow.ifPresent(flowControl -> flowControl.setReading(true));
    }
  }

  /** Records in the metrics that a streamed answer was forwarded completely. */
  void answered(long executorNanos) {
    onLoop(
        () -> {
          if (!gone) {
            metrics.answered(System.nanoTime() - receivedNanos, executorNanos);
          }
        });
  }

  /** Closes the connection, since the rest of a begun answer will never arrive. */
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

  /** Handles the disconnection of the caller. Event loop only. */
  void callerGone() {
    gone = true;
    if (finished) {
      return;
    }
    finished = true;
    flow.ifPresent(flowControl -> flowControl.setReading(true));
    whenGone.run();
    whenFinished.run();
  }
}
