package org.fescuehook.logic.batch.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The newest value to be stored under one key, and the callbacks to be notified. */
final class PendingChange {

  final List<Runnable> onCommitted = new ArrayList<>();
  Supplier<Optional<byte[]>> encoder = Optional::empty;
  Optional<Consumer<CommitFailure>> onLost = Optional.empty();
  long waitingSince;

  /** Returns the newer change after adding the callbacks of this one to it. */
  PendingChange supersededBy(PendingChange newer) {
    newer.onCommitted.addAll(0, onCommitted);
    return newer;
  }

  void notifyLost(CommitFailure loss) {
    onLost.ifPresent(waiter -> waiter.accept(loss));
  }
}
