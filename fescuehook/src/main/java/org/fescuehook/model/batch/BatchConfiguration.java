package org.fescuehook.model.batch;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the operators declared for batch jobs, as one version.
 *
 * @param version rises with each change
 * @param queues the queues by name
 * @param holders the organisations
 */
public record BatchConfiguration(
    long version, Map<String, JobQueue> queues, List<BatchOrganisation> holders) {

  /** Copies the collections. */
  public BatchConfiguration {
    queues = Map.copyOf(queues);
    holders = List.copyOf(holders);
  }

  /** Finds a queue. */
  public Optional<JobQueue> queue(String name) {
    return Optional.ofNullable(queues.get(name));
  }

  /** Finds the organisation that holds a key. */
  public Optional<BatchOrganisation> holder(String apiKey) {
    return holders.stream().filter(holder -> holder.apiKeys().contains(apiKey)).findFirst();
  }

  /** Returns the accelerators guaranteed to an organisation; 0 if it is not declared. */
  public int guaranteedAccelerators(String organisation) {
    for (BatchOrganisation holder : holders) {
      if (holder.name().equals(organisation)) {
        return holder.guaranteedAccelerators();
      }
    }
    return 0;
  }
}
