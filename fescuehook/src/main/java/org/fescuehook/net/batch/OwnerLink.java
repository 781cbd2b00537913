package org.fescuehook.net.batch;

import java.util.Optional;
import org.fescuehook.logic.batch.ownership.OwnerHint;

/** Takes calls to one owner until there is a newer one. */
public interface OwnerLink extends CallPort {

  /**
   * Ends the link; open calls become undecided.
   *
   * @param next the newer owner; the former one is told, as it may be cut off from the store
   */
  void close(Optional<OwnerHint> next);
}
