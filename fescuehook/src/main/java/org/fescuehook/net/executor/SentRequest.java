package org.fescuehook.net.executor;

import java.util.Optional;

/** A dispatch in progress: remembers the connection it was written to. */
public final class SentRequest {
  private final ExecutorPool pool;
  private volatile Optional<ExecutorConnection> connection = Optional.empty();

  SentRequest(ExecutorPool pool) {
    this.pool = pool;
  }

  ExecutorPool pool() {
    return pool;
  }

  Optional<ExecutorConnection> connection() {
    return connection;
  }

  void writtenTo(ExecutorConnection taken) {
    connection = Optional.of(taken);
  }
}
