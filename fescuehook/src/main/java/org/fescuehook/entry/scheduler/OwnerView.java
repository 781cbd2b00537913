package org.fescuehook.entry.scheduler;

import java.util.Optional;

/**
 * What the other threads know of the owner.
 *
 * @param deciding whether this VM decides
 * @param address where the owner takes calls of its peers; absent while there is no owner
 * @param handedOver whether this VM has stopped deciding for good
 */
record OwnerView(boolean deciding, Optional<String> address, boolean handedOver) {

  /** Nothing has been read yet. */
  static final OwnerView NONE = new OwnerView(false, Optional.empty(), false);
}
