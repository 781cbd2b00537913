package org.fescuehook.logic.batch.admission;

import java.util.Optional;
import org.fescuehook.logic.batch.plan.Rank;

/**
 * What a job asks of the fleet, as far as it matters for the wait of others.
 *
 * @param pool pool of the executors that may run it
 * @param label label that these executors must have; empty for any
 * @param rank its precedence
 * @param organisation the organisation that submits it
 * @param work its work: seconds for which it would occupy the whole pool, by its dominant resource
 */
record JobDemand(String pool, Optional<String> label, Rank rank, String organisation, double work) {

  /** Tells whether other work competes for the same executors as this. */
  boolean competesWith(String otherPool, Optional<String> otherLabel) {
    return pool.equals(otherPool) && label.equals(otherLabel);
  }
}
