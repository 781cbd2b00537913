package org.fescuehook.model.batch;

import java.net.InetSocketAddress;
import java.util.Set;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;

/**
 * The description that an executor publishes of itself.
 *
 * @param incarnation its id and the incarnation that is described
 * @param address address at which it accepts orders
 * @param pool pool whose tasks it runs
 * @param domain its failure domain
 * @param rack its rack
 * @param labels its labels, which include its rack
 * @param capacity resources that all its runs together may use
 * @param leaving whether it is about to leave and must not be given new runs
 * @param remainingMillis minimum time until it leaves; only valid if it is leaving
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

  /** Returns its id, which is the same for all its incarnations. */
  public ExecutorId id() {
    return incarnation.id();
  }
}
