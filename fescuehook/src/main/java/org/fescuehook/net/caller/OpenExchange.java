package org.fescuehook.net.caller;

import java.util.Optional;
import org.fescuehook.net.executor.SentRequest;

/** Holds what is needed to dispatch and answer a request that the dispatch thread handles. */
final class OpenExchange {
  private final CallerExchange caller;
  private final ServiceRequest.Forward request;
  private Optional<SentRequest> sent = Optional.empty();

  OpenExchange(CallerExchange caller, ServiceRequest.Forward request) {
    this.caller = caller;
    this.request = request;
  }

  CallerExchange caller() {
    return caller;
  }

  ServiceRequest.Forward request() {
    return request;
  }

  void sent(SentRequest newlySent) {
    sent = Optional.of(newlySent);
  }

  /** Removes and returns the dispatch in progress, if there is one. */
  Optional<SentRequest> takeSent() {
    Optional<SentRequest> taken = sent;
    sent = Optional.empty();
    return taken;
  }
}
