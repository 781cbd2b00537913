package org.fescuehook.logic.batch.plan;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.model.batch.ResourceVector;

/**
 * Capacity that is reserved for a blocked gang from its expected start on.
 *
 * @param waiting the gang
 * @param startNanos when it is expected to start, monotonic time
 * @param placements where its members are expected to start
 * @param unreserved what other work may use from then on, for each executor of the placements
 * @param spareAccelerators accelerators in the whole fleet that work which is not urgent may use
 *     from then on
 */
public record Reservation(
    WaitingStep waiting,
    long startNanos,
    List<TaskPlacement> placements,
    Map<ExecutorState, ResourceVector> unreserved,
    int spareAccelerators) {

  /**
   * Finds the earliest time at which a gang is expected to fit.
   *
   * @param capacity what is free and not reserved now; it is used up
   * @param keptFree accelerators of the fleet that the gang has to leave free
   * @return absent if the gang is not expected to fit up to the horizon of the expected ends
   */
  static Optional<Reservation> find(
      WaitingStep waiting,
      FleetCapacity capacity,
      boolean nearOnly,
      double keptFree,
      ExpectedEnds ends) {
    Search search = new Search(waiting, capacity, nearOnly, keptFree);
    for (ExpectedEnds.End end : ends.earliestFirst()) {
      Optional<List<CandidateExecutor>> group = search.release(end);
      if (group.isPresent()) {
        return Optional.of(search.reserve(group.get(), end.atNanos()));
      }
    }
    return Optional.empty();
  }

  /** The capacity while runs end one after the other; keeps count of the members that fit. */
  private static final class Search {
    private final WaitingStep waiting;
    private final FleetCapacity capacity;
    private final double keptFree;
    private final Map<ExecutorState, Place> places = new IdentityHashMap<>();
    private Optional<Group> sufficient = Optional.empty();

    /** Executors near to each other, and the number of members that fit there. */
    private static final class Group {
      private final List<CandidateExecutor> candidates;
      private int fitting;

      Group(List<CandidateExecutor> candidates) {
        this.candidates = candidates;
      }
    }

    private record Place(CandidateExecutor candidate, Group group) {}

    Search(WaitingStep waiting, FleetCapacity capacity, boolean nearOnly, double keptFree) {
      this.waiting = waiting;
      this.capacity = capacity;
      this.keptFree = keptFree;
      for (List<CandidateExecutor> candidates : capacity.groups(waiting, nearOnly)) {
        Group group = new Group(candidates);
        for (CandidateExecutor candidate : candidates) {
          places.put(candidate.executor(), new Place(candidate, group));
          count(group, fits(candidate));
        }
      }
    }

    private int fits(CandidateExecutor candidate) {
      return Math.min(waiting.tasks().size(), FleetCapacity.fits(waiting, candidate));
    }

    private void count(Group group, int more) {
      group.fitting += more;
      if (group.fitting >= waiting.tasks().size() && sufficient.isEmpty()) {
        sufficient = Optional.of(group);
      }
    }

    /** Applies the end of a run, and returns the group in which the gang fits then, if it does. */
    Optional<List<CandidateExecutor>> release(ExpectedEnds.End end) {
      Place place = places.get(end.executor());
      int before = place == null ? 0 : fits(place.candidate());
      capacity.release(end.executor(), end.run().demand());
      if (place != null) {
        count(place.group(), fits(place.candidate()) - before);
      }
      return spare() < 0 ? Optional.empty() : sufficient.map(group -> group.candidates);
    }

    private int spare() {
      int accelerators = waiting.step().spec().demand().accelerators();
      return accelerators == 0
          ? Integer.MAX_VALUE
          : (int)
              Math.floor(
                  capacity.accelerators() - keptFree - accelerators * waiting.tasks().size());
    }

    Reservation reserve(List<CandidateExecutor> group, long startNanos) {
      int spare = spare();
      List<TaskPlacement> placements = FleetCapacity.placeTasks(waiting, waiting.tasks(), group);
      placements.forEach(capacity::reserve);
      Map<ExecutorState, ResourceVector> unreserved = new IdentityHashMap<>();
      for (TaskPlacement placement : placements) {
        unreserved.put(placement.executor(), places.get(placement.executor()).candidate().free());
      }
      return new Reservation(waiting, startNanos, placements, unreserved, spare);
    }
  }
}
