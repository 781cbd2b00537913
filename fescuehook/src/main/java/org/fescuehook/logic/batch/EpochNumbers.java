package org.fescuehook.logic.batch;

/**
 * Number ranges of orders to executors and requests to the advice service. Each epoch has a range
 * of its own, so that a late answer to an earlier epoch is recognised.
 */
public final class EpochNumbers {

  /** The range of an epoch holds 2^32 numbers, more than one epoch ever uses. */
  private static final int EPOCH_SHIFT = 32;

  private EpochNumbers() {}

  /** Returns the number directly below the range of an epoch. */
  public static long before(long epoch) {
    return epoch << EPOCH_SHIFT;
  }
}
