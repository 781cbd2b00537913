package org.fescuehook.logic.batch;

/** Numbers of orders and questions, which differ between epochs so that late answers do not mix. */
public final class EpochNumbers {

  /** More than an epoch ever gives. */
  private static final int EPOCH_SHIFT = 32;

  private EpochNumbers() {}

  /** Returns the number before the first one of an epoch. */
  public static long before(long epoch) {
    return epoch << EPOCH_SHIFT;
  }
}
