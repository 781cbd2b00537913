package org.fescuehook.entry.scheduler;

import java.util.Optional;
import org.fescuehook.logic.batch.ownership.OwnerHint;

/**
 * What the decision thread publishes about the owner to other threads.
 *
 * @param deciding whether this VM is the owner and makes decisions
 * @param owner the known owner; absent while there is none
 * @param handedOver whether this VM has handed over ownership and will not decide again
 */
record OwnerView(boolean deciding, Optional<OwnerHint> owner, boolean handedOver) {

  /** The view before any ownership record is read. */
  static final OwnerView NONE = new OwnerView(false, Optional.empty(), false);
}
