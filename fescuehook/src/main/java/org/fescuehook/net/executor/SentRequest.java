package org.fescuehook.net.executor;

import java.util.Optional;

/** Represents a dispatch in progress, with the connection to which the request was written. */
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
