package org.fescuehook.model.batch;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One version of what the operators declared for batch jobs.
 *
 * @param version version number, which increases with each change
 * @param queues the queues by name
 * @param organisations the organisations
 */
public record BatchConfiguration(
    long version, Map<String, JobQueue> queues, List<BatchOrganisation> organisations) {

  /** Copies the collections. */
  public BatchConfiguration {
    queues = Map.copyOf(queues);
    organisations = List.copyOf(organisations);
  }

  /** Returns the queue of the given name; empty if it is not declared. */
  public Optional<JobQueue> queue(String name) {
    return Optional.ofNullable(queues.get(name));
  }

  /** Returns the organisation to which an API key belongs; empty if it belongs to none. */
  public Optional<BatchOrganisation> organisation(String apiKey) {
    return organisations.stream()
        .filter(declared -> declared.apiKeys().contains(apiKey))
        .findFirst();
  }

  /** Returns the accelerators guaranteed to an organisation; 0 if it is not declared. */
  public int guaranteedAccelerators(String organisation) {
    for (BatchOrganisation declared : organisations) {
      if (declared.name().equals(organisation)) {
        return declared.guaranteedAccelerators();
      }
    }
    return 0;
  }
}
