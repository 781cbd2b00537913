package org.fescuehook.logic.dispatch;

import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestKey;

/** Asks the entry VM that claimed a request id for its outcome. */
public interface OutcomeFetcher {

  /**
   * Asks without waiting.
   *
   * @param sink called once; empty if the peer gave no answer in time
   */
  void fetch(VmId claimant, RequestKey key, Consumer<Optional<OutcomeReply>> sink);
}
