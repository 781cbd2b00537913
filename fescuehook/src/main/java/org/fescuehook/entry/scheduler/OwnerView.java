package org.fescuehook.entry.scheduler;

import java.util.Optional;
import org.fescuehook.logic.batch.ownership.OwnerHint;

/**
 * What the other threads know of the owner.
 *
 * @param deciding whether this VM decides
 * @param owner the owner that this VM knows; absent while there is none
 * @param handedOver whether this VM has stopped deciding for good
 */
record OwnerView(boolean deciding, Optional<OwnerHint> owner, boolean handedOver) {

  /** Nothing has been read yet. */
  static final OwnerView NONE = new OwnerView(false, Optional.empty(), false);
}
