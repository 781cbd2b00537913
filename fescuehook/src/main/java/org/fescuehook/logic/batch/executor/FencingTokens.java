package org.fescuehook.logic.batch.executor;

/**
 * The fencing tokens of an epoch, by which executors reject orders with a lower one. A token rises
 * with the epoch and, within an epoch, with each restart of an executor that becomes known. A new
 * incarnation has seen no token yet, so it rejects orders that were meant for the previous one only
 * once it has received a higher token.
 */
final class FencingTokens {

  /** Allows a million restarts in an epoch and epochs up to 2^33 in 53 bits. */
  private static final int RESTART_BITS = 20;

  private long newest;

  FencingTokens(long epoch) {
    this.newest = epoch << RESTART_BITS;
  }

  /** Returns the highest token of this epoch so far. */
  long newest() {
    return newest;
  }

  /** Increases the token that executors which become known from now on receive. */
  void increase() {
    newest++;
  }
}
