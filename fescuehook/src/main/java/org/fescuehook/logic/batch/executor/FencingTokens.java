package org.fescuehook.logic.batch.executor;

/**
 * The numbers that executors fence orders by. They rise with the epoch and, within an epoch, with
 * each restart of an executor that becomes known: a new life has seen no number, so that orders
 * that were meant for the former one are rejected only once a higher one has come.
 */
final class FencingTokens {

  /** Leaves room for a million restarts in an epoch and for epochs up to 2^33 in 53 bits. */
  private static final int RESTART_BITS = 20;

  private long newest;

  FencingTokens(long epoch) {
    this.newest = epoch << RESTART_BITS;
  }

  /** Returns the highest number of this epoch so far. */
  long newest() {
    return newest;
  }

  /** Has the orders to executors that are met from now on carry a higher number. */
  void raise() {
    newest++;
  }
}
