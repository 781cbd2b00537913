package org.fescuehook.net.executor;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import org.fescuehook.logic.dispatch.DispatchResult;

/** Determines by the answer to a probe whether a connection is alive. */
final class ProbeListener implements AnswerListener {
  private final Runnable onAlive;
  private final Runnable onDead;

  ProbeListener(Runnable onAlive, Runnable onDead) {
    this.onAlive = onAlive;
    this.onDead = onDead;
  }

  @Override
  public void onHead(HttpResponse head, AnswerFlow flow) {
    // Any complete answer shows that the connection is alive.
  }

  @Override
  public void onContent(HttpContent content) {
    content.release();
  }

  @Override
  public void onEnd(DispatchResult end, long executorNanos) {
    switch (end) {
      case DispatchResult.Answered _, DispatchResult.RefusedNotRun _ -> onAlive.run();
      case DispatchResult.Failed _ -> onDead.run();
      case DispatchResult.NotSent _ -> {
        // The executor has closed the connection in the meantime, so it is not silent.
      }
    }
  }
}
