package org.fescuehook.standins.platform;

/**
 * Faults of the store, which can be combined.
 *
 * @param slowFactor factor by which the network delays of append requests and of all responses
 *     grow; 0 stands for 1
 * @param silent whether requests have no effect and get no response
 * @param refusing whether requests have no effect and get the status 503
 * @param lostPermille how many of a thousand appends take effect but get no response
 * @param late whether an append without a response takes effect only seconds later
 */
public record StoreFaults(
    double slowFactor, boolean silent, boolean refusing, int lostPermille, boolean late) {

  /** A store without faults. */
  static final StoreFaults NONE = new StoreFaults(1, false, false, 0, false);

  double factor() {
    return Math.max(1, slowFactor);
  }
}
