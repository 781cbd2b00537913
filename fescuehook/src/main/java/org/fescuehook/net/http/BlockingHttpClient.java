package org.fescuehook.net.http;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Sends requests over one persistent connection, and blocks the calling thread for each answer. */
public final class BlockingHttpClient {

  private final HttpClientConnection connection;

  /** Creates a client for one peer. */
  public BlockingHttpClient(EventLoop loop, InetSocketAddress peer, Duration connectTimeout) {
    this.connection = new HttpClientConnection(loop, peer, connectTimeout);
  }

  /**
   * Sends a request and waits for its answer.
   *
   * @throws HttpCallException if no complete answer arrives within the timeout
   */
  public HttpResult.Answered call(HttpCall call, Duration timeout) throws HttpCallException {
    CompletableFuture<HttpResult> future = new CompletableFuture<>();
    connection.send(call, timeout, future::complete);
    return switch (await(future)) {
      case HttpResult.Answered answered -> answered;
      case HttpResult.Failed failed ->
          throw new HttpCallException(
              String.valueOf(failed.cause().getMessage()), failed.maybeSent(), failed.cause());
    };
  }

  /** Closes the connection; a call in progress fails. */
  public void close() {
    connection.close();
  }

  private static HttpResult await(CompletableFuture<HttpResult> future) throws HttpCallException {
    try {
      return future.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new HttpCallException("interrupted", true, e);
    } catch (ExecutionException e) {
      throw new HttpCallException("failed", true, e);
    }
  }
}
