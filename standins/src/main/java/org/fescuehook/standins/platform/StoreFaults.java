package org.fescuehook.standins.platform;

/**
 * Faults of the store; all can be in force at once.
 *
 * @param slowFactor how many times as long as usual the ways to appends and of answers take; 0
 *     stands for 1
 * @param silent whether calls get no answer and do nothing
 * @param refusing whether calls get a 503 and do nothing
 * @param lostPermille how many of a thousand appends get no answer
 * @param late whether an append without an answer is carried out seconds later
 */
public record StoreFaults(
    double slowFactor, boolean silent, boolean refusing, int lostPermille, boolean late) {

  /** No fault. */
  static final StoreFaults NONE = new StoreFaults(1, false, false, 0, false);

  double factor() {
    return Math.max(1, slowFactor);
  }
}
