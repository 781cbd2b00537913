package org.fescuehook.standins.list;

import java.util.List;
import java.util.Objects;
import org.fescuehook.standins.http.Outage;
import org.jspecify.annotations.Nullable;

/**
 * Faults of the list and changes to it.
 *
 * @param outage whether calls are answered at all
 * @param delayMs time before an answer, in milliseconds
 * @param lagMs how old the list is that is answered, in milliseconds
 * @param put members to add, or to replace by name
 * @param remove names of members to take off the list
 */
public record ListFaults(
    Outage outage, long delayMs, long lagMs, List<Member> put, List<String> remove) {

  /** Creates the faults; what is absent is none. */
  public ListFaults(
      @Nullable Outage outage,
      long delayMs,
      long lagMs,
      @Nullable List<Member> put,
      @Nullable List<String> remove) {
    this.outage = Objects.requireNonNullElse(outage, Outage.NONE);
    this.delayMs = delayMs;
    this.lagMs = lagMs;
    this.put = put == null ? List.of() : List.copyOf(put);
    this.remove = remove == null ? List.of() : List.copyOf(remove);
  }

  /** Returns a list that works, with the lag given. */
  public static ListFaults lag(long lagMs) {
    return new ListFaults(Outage.NONE, 0, lagMs, List.of(), List.of());
  }
}
