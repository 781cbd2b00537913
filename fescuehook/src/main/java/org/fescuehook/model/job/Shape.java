package org.fescuehook.model.job;

import org.fescuehook.model.fleet.Capacity;

/**
 * What a gang needs at once: a number of equal members, in at most so many racks.
 *
 * @param members number of members, at least 1
 * @param perMember resources of each member, on one worker
 * @param maxRacks most racks over which the members may be spread; 0 for any number
 */
public record Shape(int members, Capacity perMember, int maxRacks) {

  /** Largest gang that the system accepts. */
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

  /** Returns the accelerators of all members. */
  public int accelerators() {
    return members * perMember.accelerators();
  }
}
