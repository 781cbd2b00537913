package org.fescuehook.model.job;

import org.fescuehook.model.fleet.Capacity;

/**
 * Resources that a gang needs at the same time: a number of identical members, spread over a
 * limited number of racks.
 *
 * @param members number of members, at least 1
 * @param perMember resources of each member, all on one worker
 * @param maxRacks maximum number of racks over which the members may be spread; 0 for no limit
 */
public record Shape(int members, Capacity perMember, int maxRacks) {

  /** Maximum number of members of a gang. */
  public static final int MAX_MEMBERS = 64;

  /** Checks the bounds. */
  public Shape {
    if (members < 1 || members > MAX_MEMBERS) {
      throw new IllegalArgumentException("members must be 1 to " + MAX_MEMBERS);
    }
    if (maxRacks < 0) {
      throw new IllegalArgumentException("negative maxRacks");
    }
  }

  /** Returns the total number of accelerators of all members. */
  public int accelerators() {
    return members * perMember.accelerators();
  }
}
