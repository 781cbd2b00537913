package org.fescuehook.net.batch;

import java.util.Optional;
import org.fescuehook.logic.batch.ownership.OwnerHint;

/** What VMs tell each other of the owner beside their calls. Any thread. */
public interface OwnerHints {

  /** Returns the owner that this VM knows. */
  Optional<OwnerHint> known();

  /** A peer knows an owner. */
  void hinted(OwnerHint hint);
}
