package org.fescuehook.net.caller;

import java.util.Optional;
import org.fescuehook.net.executor.SentRequest;

/** A request at the dispatch thread, with what is needed to send and answer it. */
final class OpenExchange {
  private final CallerExchange caller;
  private final ServiceRequest.Pass request;
  private Optional<SentRequest> sent = Optional.empty();

  OpenExchange(CallerExchange caller, ServiceRequest.Pass request) {
    this.caller = caller;
    this.request = request;
  }

  CallerExchange caller() {
    return caller;
  }

  ServiceRequest.Pass request() {
    return request;
  }

  void sent(SentRequest newlySent) {
    sent = Optional.of(newlySent);
  }

  /** Takes the dispatch in progress out, if there is one. */
  Optional<SentRequest> takeSent() {
    Optional<SentRequest> taken = sent;
    sent = Optional.empty();
    return taken;
  }
}
