package org.fescuehook.net.executor;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import org.fescuehook.logic.dispatch.DispatchResult;

/** Receives the answer to one dispatch, on the event loop of the executor's connection. */
public interface AnswerListener {

  /** Takes status line and headers; they belong to this request. Called at most once. */
  void onHead(HttpResponse head, AnswerFlow flow);

  /** Takes the next piece of the body, and with it the duty to release it. */
  void onContent(HttpContent content);

  /**
   * Takes the end. Called exactly once, last.
   *
   * @param executorNanos time from the write to the end; 0 if nothing was written
   */
  void onEnd(DispatchResult end, long executorNanos);

  /** Lets the receiver slow the executor down. Any thread. */
  interface AnswerFlow {

    /** Reads on, or stops reading. */
    void reading(boolean on);
  }
}
