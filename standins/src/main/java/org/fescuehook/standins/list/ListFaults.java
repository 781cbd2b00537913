package org.fescuehook.standins.list;

import java.util.List;

/**
 * Faults of the list, and changes to it.
 *
 * @param refusing each call is answered by 503
 * @param silent no call is answered
 * @param lagMs how old the answered list is, in milliseconds
 * @param put members to add, or to replace by name
 * @param remove names of members to take off the list
 */
public record ListFaults(
    boolean refusing, boolean silent, long lagMs, List<Member> put, List<String> remove) {

  /** Returns a list that works, with a change. */
  public static ListFaults put(long lagMs, Member... members) {
    return new ListFaults(false, false, lagMs, List.of(members), List.of());
  }
}
