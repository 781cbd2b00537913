package org.fescuehook.model.fleet;

import java.util.OptionalLong;

/**
 * One process of an executor, from its start to its end. An executor may restart under the same id.
 * The new process knows nothing of the previous one, and its counters start again.
 *
 * @param id name of the executor, which several of its incarnations may share
 * @param bornMillis start time by its own wall clock, milliseconds since 1970; absent if the
 *     executor does not report it
 */
public record Incarnation(ExecutorId id, OptionalLong bornMillis) {

  /** Returns the incarnation of an executor that does not report its start time. */
  public static Incarnation ofUnknownStart(ExecutorId id) {
    return new Incarnation(id, OptionalLong.empty());
  }

  /** Tells whether the other incarnation is known to have started later under the same id. */
  public boolean startedBefore(Incarnation other) {
    return id.equals(other.id)
        && bothStartsKnown(other)
        && bornMillis.getAsLong() < other.bornMillis.getAsLong();
  }

  /** Tells whether the other is known to be a different incarnation. */
  public boolean differsFrom(Incarnation other) {
    return !id.equals(other.id) || (bothStartsKnown(other) && !bornMillis.equals(other.bornMillis));
  }

  private boolean bothStartsKnown(Incarnation other) {
    return bornMillis.isPresent() && other.bornMillis.isPresent();
  }

  /** Returns this incarnation with the reported start time, if its own start time is unknown. */
  public Incarnation withStart(OptionalLong reportedMillis) {
    return bornMillis.isPresent() ? this : new Incarnation(id, reportedMillis);
  }

  @Override
  public String toString() {
    return bornMillis.isPresent() ? id + "@" + bornMillis.getAsLong() : id.toString();
  }
}
