package org.fescuehook.standins.list;

import java.util.List;

/**
 * Faults of the list of VMs, and changes to its members.
 *
 * @param refusing whether each request gets the status 503
 * @param silent whether requests get no response
 * @param lagMs age of the returned list, in milliseconds
 * @param put members to add, or to replace if their name is already listed
 * @param remove names of members to remove
 */
public record ListFaults(
    boolean refusing, boolean silent, long lagMs, List<Member> put, List<String> remove) {

  /** Returns faults that only set the lag and add or replace members. */
  public static ListFaults put(long lagMs, Member... members) {
    return new ListFaults(false, false, lagMs, List.of(members), List.of());
  }
}
