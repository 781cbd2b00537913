package org.fescuehook.model.batch;

import java.net.InetSocketAddress;
import java.util.Set;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;

/**
 * An executor as it describes itself.
 *
 * @param incarnation its name, and which of its lives it describes
 * @param address where it takes orders
 * @param pool the pool that it works for
 * @param domain its failure domain
 * @param rack its rack
 * @param labels what it is labelled with, its rack included
 * @param capacity what its tasks may use together
 * @param leaving whether it is about to leave and must get nothing new
 * @param remainingMillis least time that it still has while it is leaving
 */
public record ExecutorProfile(
    Incarnation incarnation,
    InetSocketAddress address,
    String pool,
    FailureDomain domain,
    RackId rack,
    Set<String> labels,
    ResourceVector capacity,
    boolean leaving,
    long remainingMillis) {

  /** Copies the set. */
  public ExecutorProfile {
    labels = Set.copyOf(labels);
  }

  /** Returns its name, which it may have had in former lives, too. */
  public ExecutorId id() {
    return incarnation.id();
  }
}
