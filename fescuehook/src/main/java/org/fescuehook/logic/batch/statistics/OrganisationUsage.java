package org.fescuehook.logic.batch.statistics;

import java.util.Collection;
import org.fescuehook.logic.batch.executor.ExecutorState;

/** Recent use of capacity by each organisation. */
public final class OrganisationUsage {

  private final boolean enabled;

  /**
   * Creates statistics that know nothing yet.
   *
   * @param enabled whether anything is learned; otherwise all answers stay neutral
   */
  public OrganisationUsage(boolean enabled) {
    this.enabled = enabled;
  }

  /**
   * Learns from what runs on the executors, before each plan.
   *
   * @param nowNanos monotonic time
   */
  public void observe(Collection<ExecutorState> executors, long nowNanos) {}

  /**
   * Returns the recent use of an organisation, relative to what is guaranteed to it; 0 if nothing
   * is known.
   */
  public double of(String organisation) {
    return 0;
  }

  /** Returns whether anything is learned. */
  public boolean enabled() {
    return enabled;
  }
}
