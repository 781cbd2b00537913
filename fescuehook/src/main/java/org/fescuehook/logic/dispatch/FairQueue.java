package org.fescuehook.logic.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongPredicate;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * Bounded queue of requests that wait for a slot: first in, first out within an organisation, and
 * weighted deficit round robin between organisations.
 */
final class FairQueue {
  private final int limit;
  private final Map<OrganisationId, OrganisationQueue> queues = new HashMap<>();
  private final Deque<OrganisationQueue> active = new ArrayDeque<>();
  private Map<OrganisationId, Double> weights = Map.of();
  private double smallestWeight = 1;
  private int size;

  FairQueue(int limit) {
    this.limit = limit;
  }

  /** Sets the weights; an organisation without a weight gets the smallest one. */
  void setWeights(Map<OrganisationId, Double> newWeights) {
    weights = Map.copyOf(newWeights);
    smallestWeight = weights.values().stream().mapToDouble(Double::doubleValue).min().orElse(1);
    queues.values().forEach(queue -> queue.quantum = quantum(queue.organisation));
  }

  private double quantum(OrganisationId organisation) {
    return weights.getOrDefault(organisation, smallestWeight) / smallestWeight;
  }

  /**
   * Adds a request at the end of its organisation's queue; returns false if the whole queue is
   * full.
   */
  boolean add(OrganisationId organisation, long ticket) {
    if (size >= limit) {
      return false;
    }
    OrganisationQueue queue =
        queues.computeIfAbsent(organisation, id -> new OrganisationQueue(id, quantum(id)));
    if (queue.tickets.isEmpty()) {
      active.addLast(queue);
    }
    queue.tickets.addLast(ticket);
    size++;
    return true;
  }

  /**
   * Removes and returns the next request that satisfies {@code isWaiting}; drops requests before it
   * that do not.
   */
  OptionalLong poll(LongPredicate isWaiting) {
    while (!active.isEmpty()) {
      OrganisationQueue queue = active.peekFirst();
      if (queue.deficit < 1) {
        queue.deficit += queue.quantum;
      }
      long ticket = queue.tickets.removeFirst();
      size--;
      boolean waits = isWaiting.test(ticket);
      if (waits) {
        queue.deficit -= 1;
      }
      advance(queue);
      if (waits) {
        return OptionalLong.of(ticket);
      }
    }
    return OptionalLong.empty();
  }

  private void advance(OrganisationQueue queue) {
    if (queue.tickets.isEmpty()) {
      queue.deficit = 0;
      active.removeFirst();
      queues.remove(queue.organisation);
      return;
    }
    if (queue.deficit < 1) {
      active.addLast(active.removeFirst());
    }
  }

  /** Removes a waiting request. */
  void remove(OrganisationId organisation, long ticket) {
    Optional<OrganisationQueue> queue = Optional.ofNullable(queues.get(organisation));
    if (queue.isEmpty() || !queue.get().tickets.remove(ticket)) {
      return;
    }
    size--;
    if (queue.get().tickets.isEmpty()) {
      active.remove(queue.get());
      queues.remove(organisation);
    }
  }

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /**
   * Returns the expected number of requests that are dispatched before a new request of the
   * organisation.
   */
  double requestsAhead(OrganisationId organisation) {
    int own = Optional.ofNullable(queues.get(organisation)).map(q -> q.tickets.size()).orElse(0);
    double quantum = quantum(organisation);
    double others =
        active.stream()
            .filter(queue -> !queue.organisation.equals(organisation))
            .mapToDouble(
                queue -> Math.min(queue.tickets.size(), (own + 1) * queue.quantum / quantum))
            .sum();
    return own + others;
  }

  private static final class OrganisationQueue {
    private final OrganisationId organisation;
    private final Deque<Long> tickets = new ArrayDeque<>();
    private double quantum;
    private double deficit;

    OrganisationQueue(OrganisationId organisation, double quantum) {
      this.organisation = organisation;
      this.quantum = quantum;
    }
  }
}
