package org.fescuehook.logic.batch.statistics;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.model.batch.BatchOrganisation;

/**
 * The shares of the fleet that organisations are entitled to. An organisation is entitled to what
 * is guaranteed to it and to an equal part of the accelerators that are guaranteed to nobody. An
 * organisation without guarantee counts with that part alone, its base weight.
 */
final class Entitlements {

  /**
   * Least base weight, relative to an equal part of all accelerators. It keeps organisations
   * without guarantee from counting nothing where the guarantees cover the whole fleet.
   */
  private static final double MIN_BASE = 0.1;

  private final Map<String, Double> shares = new HashMap<>();
  private final double baseShare;

  Entitlements(List<BatchOrganisation> organisations, long fleetAccelerators) {
    int count = Math.max(1, organisations.size());
    long guaranteed =
        organisations.stream().mapToLong(BatchOrganisation::guaranteedAccelerators).sum();
    double equalPart = Math.max(1.0, (double) fleetAccelerators / count);
    double unguaranteedPart = (double) (fleetAccelerators - guaranteed) / count;
    double base = Math.max(unguaranteedPart, equalPart * MIN_BASE);
    double sum = guaranteed + count * base;
    this.baseShare = base / sum;
    for (BatchOrganisation organisation : organisations) {
      shares.put(organisation.name(), (organisation.guaranteedAccelerators() + base) / sum);
    }
  }

  /** Returns the share of an organisation, more than 0; undeclared ones have the base weight. */
  double of(String organisation) {
    return shares.getOrDefault(organisation, baseShare);
  }
}
