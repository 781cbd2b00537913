package org.fescuehook.logic.batch.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** What is to be stored under one key, and who waits for it. */
final class PendingChange {

  final List<Runnable> committed = new ArrayList<>();
  Supplier<Optional<byte[]>> encoder = Optional::empty;
  Optional<Consumer<CommitLoss>> lost = Optional.empty();
  long since;

  /** Returns the newer change, which also tells those who wait for this one. */
  PendingChange followedBy(PendingChange newer) {
    newer.committed.addAll(0, committed);
    return newer;
  }

  void lose(CommitLoss loss) {
    lost.ifPresent(waiter -> waiter.accept(loss));
  }
}
