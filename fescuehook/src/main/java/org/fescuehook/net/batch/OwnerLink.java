package org.fescuehook.net.batch;

import java.util.Optional;
import org.fescuehook.logic.batch.ownership.OwnerHint;

/** Forwards calls to one owner until a newer one replaces it. */
public interface OwnerLink extends CallPort {

  /**
   * Closes the link. Pending calls that were sent are answered as undecided.
   *
   * @param next the newer owner, reported to the previous one, which may be unable to reach the
   *     store and learn of it there
   */
  void close(Optional<OwnerHint> next);
}
