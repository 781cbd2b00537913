package org.fescuehook.logic.batch.statistics;

/**
 * Observations about an executor, other than ends of runs, that make it less likely that runs
 * succeed there. Health reports are none, since they are wrong in both directions.
 */
public enum StartEvidence {
  /**
   * It crashed, or was silent until its leases had expired. Some executors crash once, others again
   * and again, so that one crash leaves the fault less likely than not.
   */
  CRASHED(2.5, "crashed"),
  /** A start was rejected because the executor is unhealthy, as with HTTP status 503. */
  REFUSED(2, "refused"),
  /**
   * A start was rejected for lack of capacity, as with HTTP status 429. The cause may also be a run
   * that the owner does not know.
   */
  NO_CAPACITY(1, "no-capacity"),
  /** No start order of a run was answered, or none could be sent. */
  UNANSWERED(2, "unanswered"),
  /** A run made no progress at all. */
  STALLED(2, "stalled");

  private final double weight;
  private final String tag;

  StartEvidence(double weight, String tag) {
    this.weight = weight;
    this.tag = tag;
  }

  /** Returns by how much it raises the logarithm of the odds that the executor is faulty. */
  double weight() {
    return weight;
  }

  /** Returns its name in metrics and log events. */
  String tag() {
    return tag;
  }
}
