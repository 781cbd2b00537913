package org.fescuehook.logic.batch.admission;

import java.util.concurrent.atomic.AtomicInteger;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;

/**
 * Delays after which callers retry calls that a VM refuses without being the owner. Such a VM knows
 * neither how often a caller was refused nor how many others were, so the delay follows from the
 * cause, the job id and a count of refusals, which varies it from try to try. Thread-safe.
 */
public final class RetryDelays {

  private static final long SHORTEST_MILLIS = 1000;

  /**
   * Shortest delay of a submission while no owner, store or configuration can be reached: with it,
   * the four retries of a caller span an outage of 12 s, the longest that the users expect.
   */
  private static final long IN_OUTAGE_MILLIS = 3000;

  /** Number of seconds over which the retries of calls refused at the same moment are spread. */
  private static final int SPREAD_SECONDS = 4;

  private static final long MILLIS_PER_SECOND = 1000;

  private final boolean spread;
  private final AtomicInteger refusals = new AtomicInteger();

  /**
   * Creates delays.
   *
   * @param spread whether the delays of submissions are spread; otherwise all are the shortest
   */
  public RetryDelays(boolean spread) {
    this.spread = spread;
  }

  /** Returns the refusal of a call. */
  public CallAnswer refusal(RefusalCause cause, BatchCall call) {
    return refusal(cause, call instanceof BatchCall.Submit, call.subject());
  }

  /**
   * Returns the refusal of a request that cannot become a call.
   *
   * @param submission whether it submits a job
   * @param subject identifies the job
   */
  public CallAnswer refusal(RefusalCause cause, boolean submission, String subject) {
    // Other calls are held while there is no owner, which spreads them and spans an outage.
    boolean shortest = !spread || !submission;
    return new CallAnswer.Refused(cause, shortest ? SHORTEST_MILLIS : spread(cause, subject));
  }

  private long spread(RefusalCause cause, String subject) {
    long shortest =
        switch (cause) {
          case NO_OWNER, STORE_AWAY, NO_CONFIGURATION, STALE_CONFIGURATION -> IN_OUTAGE_MILLIS;
          // The next owner or another VM usually takes the call within a second.
          case NOT_OWNER, STOPPING, OVERLOADED, UNSUPPORTED, BACKLOG, ID_IN_USE -> SHORTEST_MILLIS;
        };
    return shortest + MILLIS_PER_SECOND * slot(subject);
  }

  /** Returns a number from 0 to the number of seconds, exclusively; ids are spread evenly. */
  private int slot(String subject) {
    int hash = subject.hashCode();
    // Ids that differ in their last digits only must not share a slot.
    hash = (hash ^ (hash >>> 16)) * 0x45d9f3b;
    return Math.floorMod((hash ^ (hash >>> 16)) + refusals.getAndIncrement(), SPREAD_SECONDS);
  }
}
