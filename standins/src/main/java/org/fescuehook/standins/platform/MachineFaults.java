package org.fescuehook.standins.platform;

import java.util.List;

/**
 * Faults of the machine API, and the maintenance waves that operators ask for.
 *
 * @param tooManyPermille how many of a thousand maintenance calls get the status 429
 * @param busyPermille how many of a thousand maintenance calls are refused as busy
 * @param lostPermille how many of a thousand maintenance calls are carried out without a response
 * @param lateMillis delay of the execution of calls whose response is lost
 * @param delayMillis additional delay of all responses
 * @param silent whether requests have no effect and get no response
 * @param neverBack numbers of the machines that stay away once they are under maintenance
 * @param waves the waves that are asked for; one that is missing is withdrawn
 */
public record MachineFaults(
    int tooManyPermille,
    int busyPermille,
    int lostPermille,
    long lateMillis,
    long delayMillis,
    boolean silent,
    List<Integer> neverBack,
    List<Wave> waves) {

  /** No faults and no waves. */
  static final MachineFaults NONE = new MachineFaults(0, 0, 0, 0, 0, false, List.of(), List.of());

  /**
   * A maintenance wave.
   *
   * @param machines numbers of its machines
   * @param deadlineS time in which they should be through, in seconds
   * @param cap most of them that may be away at the same time
   */
  public record Wave(int wave, List<Integer> machines, double deadlineS, int cap) {

    /** Copies the list. */
    public Wave {
      machines = List.copyOf(machines);
    }
  }

  /** Copies the lists; a missing one is empty. */
  public MachineFaults {
    neverBack = neverBack == null ? List.of() : List.copyOf(neverBack);
    waves = waves == null ? List.of() : List.copyOf(waves);
  }
}
