package org.fescuehook.standins.platform;

/**
 * Faults of the advice service.
 *
 * @param silent whether calls are dropped without a response
 * @param refusing whether calls get the status 503
 * @param lostPermille how many of a thousand calls are handled but get no response
 * @param delayMillis additional time for each call
 */
public record AdviceFaults(boolean silent, boolean refusing, int lostPermille, long delayMillis) {

  /** No faults. */
  static final AdviceFaults NONE = new AdviceFaults(false, false, 0, 0);
}
