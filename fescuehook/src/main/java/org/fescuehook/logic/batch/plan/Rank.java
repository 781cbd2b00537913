package org.fescuehook.logic.batch.plan;

/**
 * The precedence of a job: a lower value goes first and may preempt higher ones.
 *
 * @param value 0 for work that its organisation's guarantee covers, else 1 + the queue's priority
 */
public record Rank(int value) implements Comparable<Rank> {

  /** Work that an organisation's guarantee covers. */
  public static final Rank GUARANTEED = new Rank(0);

  /** Returns the rank of work that no guarantee covers. */
  public static Rank ofPriority(int priority) {
    return new Rank(1 + priority);
  }

  /** Tells whether this goes before the other. */
  public boolean before(Rank other) {
    return value < other.value;
  }

  /** Tells whether a guarantee covers the work. */
  public boolean guaranteed() {
    return equals(GUARANTEED);
  }

  @Override
  public int compareTo(Rank other) {
    return Integer.compare(value, other.value);
  }

  @Override
  public String toString() {
    return guaranteed() ? "guaranteed" : "priority " + (value - 1);
  }
}
