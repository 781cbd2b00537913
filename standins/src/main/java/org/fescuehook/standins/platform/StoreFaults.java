package org.fescuehook.standins.platform;

import java.util.List;

/**
 * Faults of the store and requests of its operators, which can be combined.
 *
 * @param slowFactor factor by which the network delays of append requests and of all responses
 *     grow; 0 stands for 1
 * @param silent whether requests have no effect and get no response
 * @param refusing whether requests have no effect and get the status 503
 * @param lostPermille how many of a thousand appends take effect but get no response
 * @param late whether an append without a response takes effect only seconds later
 * @param historyLosses how often the store has dropped the history of what operators and executors
 *     wrote, so that a higher number drops it; the newest record of each key is kept
 * @param oddEntries how often another writer has left odd entries among those of the executors, so
 *     that a higher number writes them, also over the entries of some executors
 * @param evacuated zones to whose executors operators want nothing to be sent
 * @param configurations how many configurations operators have put in place of the first one, so
 *     that a higher number puts the next one
 */
public record StoreFaults(
    double slowFactor,
    boolean silent,
    boolean refusing,
    int lostPermille,
    boolean late,
    int historyLosses,
    int oddEntries,
    List<String> evacuated,
    int configurations) {

  /** A store without faults. */
  static final StoreFaults NONE = new StoreFaults(1, false, false, 0, false, 0, 0, List.of(), 0);

  /** Copies the list; if it is missing, no zone is evacuated. */
  public StoreFaults {
    evacuated = evacuated == null ? List.of() : List.copyOf(evacuated);
  }

  double factor() {
    return Math.max(1, slowFactor);
  }
}
