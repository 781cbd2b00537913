package org.fescuehook.standins.http;

/** Answers requests; called on an event loop, so it must not block. */
@FunctionalInterface
public interface ExchangeHandler {

  /** Handles a request; the answer may be given later and from any thread, or never. */
  void handle(Exchange exchange);
}
