package org.fescuehook.logic.batch;

/**
 * An action that is scheduled for a time.
 *
 * @param order order among actions of the same time
 */
record ScheduledAction(long at, long order, Runnable action)
    implements Comparable<ScheduledAction> {
  @Override
  public int compareTo(ScheduledAction other) {
    int byTime = Long.compare(at, other.at);
    return byTime != 0 ? byTime : Long.compare(order, other.order);
  }
}
