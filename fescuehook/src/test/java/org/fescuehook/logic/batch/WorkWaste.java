package org.fescuehook.logic.batch;

import org.fescuehook.model.batch.ResourceVector;

/** Counts the work of simulated runs that has to be repeated. */
final class WorkWaste {

  private static final double MILLIS_PER_SECOND = 1000;

  private double coreSeconds;
  private int gangsBroken;

  /** Adds work that has to be repeated, or time that a gang spent waiting for its members. */
  void add(ResourceVector demand, long millis) {
    coreSeconds += demand.coreEquivalents() * millis / MILLIS_PER_SECOND;
  }

  void gangBroken() {
    gangsBroken++;
  }

  /** Returns the work in seconds of one core. */
  double coreSeconds() {
    return coreSeconds;
  }

  /** Returns how many runs of gangs were stopped or lost before their work was done. */
  int gangsBroken() {
    return gangsBroken;
  }
}
