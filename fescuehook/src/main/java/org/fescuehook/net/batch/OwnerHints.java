package org.fescuehook.net.batch;

import java.util.Optional;
import org.fescuehook.logic.batch.ownership.OwnerHint;

/**
 * Exchanges with peers, along with calls, which VM is the current owner. Methods may be called by
 * any thread.
 */
public interface OwnerHints {

  /** Returns the current owner as far as this VM knows it. */
  Optional<OwnerHint> known();

  /** Handles a peer's report of an owner, which may be older than the one that this VM knows. */
  void hinted(OwnerHint hint);
}
