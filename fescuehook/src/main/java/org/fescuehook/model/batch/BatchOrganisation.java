package org.fescuehook.model.batch;

import java.util.Set;

/**
 * An organisation as the operators declared it for batch jobs.
 *
 * @param name its name
 * @param apiKeys keys that its calls carry
 * @param guaranteedAccelerators accelerators that belong to its jobs of priority 0 at all times
 */
public record BatchOrganisation(String name, Set<String> apiKeys, int guaranteedAccelerators) {

  /** Copies the set. */
  public BatchOrganisation {
    apiKeys = Set.copyOf(apiKeys);
  }
}
