package org.fescuehook.logic.rule;

/** A range with both ends included. */
record Range(double least, double most) {

  static final Range ALL = new Range(0, Double.MAX_VALUE);

  Range and(double otherLeast, double otherMost) {
    return new Range(Math.max(least, otherLeast), Math.min(most, otherMost));
  }

  boolean isEmpty() {
    return least > most;
  }

  boolean contains(Range other) {
    return least <= other.least && most >= other.most;
  }
}
