package org.fescuehook.net.executor;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import org.fescuehook.logic.dispatch.DispatchResult;

/** Receives the answer to one dispatch, on the event loop of the executor's connection. */
public interface AnswerListener {

  /**
   * Handles the status line and the headers, once they are known to answer this request. Called at
   * most once.
   */
  void onHead(HttpResponse head, AnswerFlow flow);

  /** Handles the next part of the body, which the listener must release. */
  void onContent(HttpContent content);

  /**
   * Handles the end of the dispatch. Called exactly once, after all other calls.
   *
   * @param executorNanos time from writing the request to the end; 0 if nothing was written
   */
  void onEnd(DispatchResult end, long executorNanos);

  /** Lets the receiver of an answer apply back-pressure to the executor. Any thread. */
  interface AnswerFlow {

    /** Resumes or pauses reading from the executor. */
    void setReading(boolean on);
  }
}
