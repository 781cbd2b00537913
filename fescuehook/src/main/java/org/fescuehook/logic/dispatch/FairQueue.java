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
 * Bounded queue of requests that wait for a slot: first in first out within an organisation,
 * deficit round robin by weight between organisations.
 */
final class FairQueue {
  private final int limit;
  private final Map<OrganisationId, OrganisationQueue> lanes = new HashMap<>();
  private final Deque<OrganisationQueue> active = new ArrayDeque<>();
  private Map<OrganisationId, Double> weights = Map.of();
  private double smallestWeight = 1;
  private int size;

  FairQueue(int limit) {
    this.limit = limit;
  }

  /** Sets the weights; an organisation without one counts as the smallest. */
  void weigh(Map<OrganisationId, Double> newWeights) {
    weights = Map.copyOf(newWeights);
    smallestWeight = weights.values().stream().mapToDouble(Double::doubleValue).min().orElse(1);
    lanes.values().forEach(lane -> lane.quantum = quantum(lane.organisation));
  }

  private double quantum(OrganisationId organisation) {
    return weights.getOrDefault(organisation, smallestWeight) / smallestWeight;
  }

  /** Adds a request at the end of its organisation's lane; false if the queue is full. */
  boolean add(OrganisationId organisation, long ticket) {
    if (size >= limit) {
      return false;
    }
    OrganisationQueue lane =
        lanes.computeIfAbsent(organisation, id -> new OrganisationQueue(id, quantum(id)));
    if (lane.tickets.isEmpty()) {
      active.addLast(lane);
    }
    lane.tickets.addLast(ticket);
    size++;
    return true;
  }

  /** Takes the next request that is still wanted; drops the others on the way. */
  OptionalLong take(LongPredicate wanted) {
    while (!active.isEmpty()) {
      OrganisationQueue lane = active.peekFirst();
      if (lane.deficit < 1) {
        lane.deficit += lane.quantum;
      }
      long ticket = lane.tickets.removeFirst();
      size--;
      boolean isWanted = wanted.test(ticket);
      if (isWanted) {
        lane.deficit -= 1;
      }
      turn(lane);
      if (isWanted) {
        return OptionalLong.of(ticket);
      }
    }
    return OptionalLong.empty();
  }

  private void turn(OrganisationQueue lane) {
    if (lane.tickets.isEmpty()) {
      lane.deficit = 0;
      active.removeFirst();
      lanes.remove(lane.organisation);
      return;
    }
    if (lane.deficit < 1) {
      active.addLast(active.removeFirst());
    }
  }

  /** Removes a request that waits. */
  void remove(OrganisationId organisation, long ticket) {
    Optional<OrganisationQueue> lane = Optional.ofNullable(lanes.get(organisation));
    if (lane.isEmpty() || !lane.get().tickets.remove(ticket)) {
      return;
    }
    size--;
    if (lane.get().tickets.isEmpty()) {
      active.remove(lane.get());
      lanes.remove(organisation);
    }
  }

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** Returns how many requests are served before a new one of the organisation, at its share. */
  double ahead(OrganisationId organisation) {
    int own = Optional.ofNullable(lanes.get(organisation)).map(l -> l.tickets.size()).orElse(0);
    double quantum = quantum(organisation);
    double others =
        active.stream()
            .filter(lane -> !lane.organisation.equals(organisation))
            .mapToDouble(lane -> Math.min(lane.tickets.size(), (own + 1) * lane.quantum / quantum))
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
