package org.fescuehook.model.batch;

import java.util.Set;

/**
 * An organisation as the operators declared it for batch jobs.
 *
 * @param name its name
 * @param apiKeys API keys that its calls carry
 * @param guaranteedAccelerators number of accelerators guaranteed to its jobs of priority 0
 */
public record BatchOrganisation(String name, Set<String> apiKeys, int guaranteedAccelerators) {

  /** Copies the set. */
  public BatchOrganisation {
    apiKeys = Set.copyOf(apiKeys);
  }
}
