package org.fescuehook.logic.batch;

/** Something that happens at a time. */
record Due(long at, long order, Runnable action) implements Comparable<Due> {
  @Override
  public int compareTo(Due other) {
    int byTime = Long.compare(at, other.at);
    return byTime != 0 ? byTime : Long.compare(order, other.order);
  }
}
