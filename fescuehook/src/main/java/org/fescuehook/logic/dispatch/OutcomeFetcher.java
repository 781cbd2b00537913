package org.fescuehook.logic.dispatch;

import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestKey;

/** Asks the entry VM that claimed a request id for the outcome. */
public interface OutcomeFetcher {

  /**
   * Sends the question without waiting for the reply.
   *
   * @param sink called once with the reply; empty if the peer gave none in time
   */
  void fetch(VmId claimant, RequestKey key, Consumer<Optional<OutcomeReply>> sink);
}
