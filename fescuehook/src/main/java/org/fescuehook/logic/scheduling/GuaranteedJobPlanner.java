package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.scheduling.Scheduler.StopCause;
import org.fescuehook.logic.scheduling.VictimSelector.Selection;
import org.fescuehook.logic.scheduling.VictimSelector.Victim;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.OrganisationId;

/** Starts the jobs that guarantees cover, and preempts borrowers for them. */
final class GuaranteedJobPlanner {

  private static final double URGENT_COST_FACTOR = 100;

  private final PlanState state;
  private final GangPlacer placer;
  private final PolicyFeatures features;
  private final StopFactory stopFactory;
  private final QuotaEnforcer quotaEnforcer;
  private final Set<Demand> notStartable = new HashSet<>();
  private final Set<Demand> notReclaimable = new HashSet<>();
  private final Set<Shape> notBorrowable = new HashSet<>();

  GuaranteedJobPlanner(
      PlanState state, GangPlacer placer, PolicyFeatures features, QuotaEnforcer quotaEnforcer) {
    this.quotaEnforcer = quotaEnforcer;
    this.state = state;
    this.placer = placer;
    this.features = features;
    this.stopFactory = new StopFactory(state.view().declarations().policy());
  }

  /**
   * Plans the jobs that guarantees cover: starts them on their reserved placements, or keeps these
   * free for them. A job that could also start elsewhere as a borrower is returned with the others,
   * which avoids preempting a borrower for it. If an organisation has an urgent job that its
   * guarantees do not cover, that job precedes the organisation's other jobs, and these are not
   * covered either.
   *
   * @return the jobs that are still to be planned, in the same order
   */
  List<Candidate> plan(List<Candidate> candidates) {
    List<Candidate> covered = coveredByGuarantees(candidates);
    state.protectReservedPlacements(holders(covered));
    Set<Candidate> open = new HashSet<>();
    Set<Candidate> done = new HashSet<>();
    for (Candidate c : covered) {
      List<WorkerCapacities> reservedOptions = reservedOptions(c);
      if (!quotaEnforcer.allows(c)
          || (!reservedOptions.isEmpty() && startOrAwaitStops(c, reservedOptions))) {
        done.add(c);
      } else if (!reservedOptions.isEmpty()) {
        open.add(c);
      }
    }
    state.protectReservedPlacements(holders(open));
    List<Candidate> left = new ArrayList<>(candidates);
    left.removeIf(c -> done.contains(c) || (open.contains(c) && !canBorrow(c) && reclaim(c)));
    return left;
  }

  /** Returns the jobs that guarantees would cover if each job were the only one. */
  private List<Candidate> coveredByGuarantees(List<Candidate> candidates) {
    List<Candidate> covered = new ArrayList<>();
    Set<OrganisationId> urgent = new HashSet<>();
    for (Candidate c : candidates) {
      OrganisationId organisation = c.job().organisation();
      boolean yields = !c.job().urgent() && urgent.contains(organisation);
      if (!yields && !reservedOptions(c).isEmpty()) {
        covered.add(c);
      } else if (c.job().urgent()) {
        urgent.add(organisation);
      }
    }
    return covered;
  }

  private static Set<OrganisationId> holders(Collection<Candidate> candidates) {
    Set<OrganisationId> holders = new HashSet<>();
    candidates.forEach(c -> holders.add(c.job().organisation()));
    return holders;
  }

  /**
   * Properties that decide whether a job can be placed. Free capacity only shrinks in the course of
   * a plan, so if one job could not be placed, the next job with the same demand cannot be either.
   */
  private record Demand(OrganisationId organisation, Shape shape, boolean urgent) {

    static Demand of(Candidate candidate) {
      Job job = candidate.job();
      return new Demand(job.organisation(), job.shape(), job.urgent());
    }
  }

  private boolean startOrAwaitStops(Candidate candidate, List<WorkerCapacities> reservedOptions) {
    Demand demand = Demand.of(candidate);
    if (notStartable.contains(demand)) {
      return false;
    }
    boolean[] avoid = state.avoid(candidate.waiting());
    if (startOnReserved(candidate, reservedOptions, avoid)
        || awaitStops(candidate, reservedOptions, avoid)) {
      return true;
    }
    if (candidate.waiting().avoid().isEmpty()) {
      notStartable.add(demand);
    }
    return false;
  }

  private boolean canBorrow(Candidate candidate) {
    Shape shape = candidate.job().shape();
    if (!candidate.mayBorrow() || notBorrowable.contains(shape)) {
      return false;
    }
    boolean[] avoid = state.avoid(candidate.waiting());
    if (placer.fits(shape, state.availableToBorrowers(state.free()), avoid)) {
      return true;
    }
    if (candidate.waiting().avoid().isEmpty()) {
      notBorrowable.add(shape);
    }
    return false;
  }

  /** Preempts borrowers for a job that could not start elsewhere as a borrower. */
  boolean reclaim(Candidate candidate) {
    Demand demand = Demand.of(candidate);
    if (!features.reclaim() || notReclaimable.contains(demand)) {
      return false;
    }
    List<WorkerCapacities> reservedOptions = reservedOptions(candidate);
    boolean[] avoid = state.avoid(candidate.waiting());
    if (!reservedOptions.isEmpty()
        && (awaitStops(candidate, reservedOptions, avoid)
            || reclaim(candidate, reservedOptions, avoid))) {
      return true;
    }
    if (candidate.waiting().avoid().isEmpty()) {
      notReclaimable.add(demand);
    }
    return false;
  }

  /**
   * Returns the reserved capacities, each of which could hold the whole job within its guarantee.
   */
  private List<WorkerCapacities> reservedOptions(Candidate candidate) {
    List<WorkerCapacities> reservedOptions =
        state.guarantees().reservedCapacitiesFor(candidate.job());
    if (reservedOptions.isEmpty()) {
      return reservedOptions;
    }
    boolean[] avoid = state.avoid(candidate.waiting());
    reservedOptions.removeIf(reserved -> !placer.fits(candidate.job().shape(), reserved, avoid));
    return reservedOptions;
  }

  private boolean startOnReserved(
      Candidate candidate, List<WorkerCapacities> reservedOptions, boolean[] avoid) {
    Job job = candidate.job();
    for (WorkerCapacities reserved : reservedOptions) {
      Optional<int[]> workers = place(job, state.free(), reserved, avoid);
      if (workers.isPresent() && state.chargeGuarantee(job, workers.get())) {
        state.start(candidate, workers.get(), false);
        return true;
      }
    }
    return false;
  }

  private boolean awaitStops(
      Candidate candidate, List<WorkerCapacities> reservedOptions, boolean[] avoid) {
    Job job = candidate.job();
    for (WorkerCapacities reserved : reservedOptions) {
      Optional<int[]> workers = place(job, state.freeAfterStops(job), reserved, avoid);
      if (workers.isPresent() && state.chargeGuarantee(job, workers.get())) {
        state.allocate(job, workers.get());
        state.explain(
            candidate, "waits for borrowers that were told to stop", expectedStartMillis());
        return true;
      }
    }
    return false;
  }

  private boolean reclaim(
      Candidate candidate, List<WorkerCapacities> reservedOptions, boolean[] avoid) {
    Job job = candidate.job();
    List<Victim> eligible = victims(job);
    WorkerCapacities availableAfterStops =
        state.availableToHolder(job.organisation(), state.freeAfterStops(job));
    VictimSelector selector = new VictimSelector(state.index());
    Optional<Selection> best = Optional.empty();
    for (WorkerCapacities reserved : reservedOptions) {
      Optional<Selection> found =
          selector.select(
              job.shape(), availableAfterStops, reserved, avoid, withMemberIn(reserved, eligible));
      if (found.isPresent() && (best.isEmpty() || found.get().cost() < best.get().cost())) {
        best = found;
      }
    }
    if (best.isEmpty()) {
      return false;
    }
    StopCause cause = job.urgent() ? StopCause.URGENT : StopCause.RECLAIMED;
    for (Victim v : best.get().victims()) {
      state.stop(v.attempt(), stopFactory.create(v.attempt().running(), cause, job));
    }
    return awaitStops(candidate, reservedOptions, avoid);
  }

  /** Returns the victims that have a member on a worker of the reserved capacity. */
  private static List<Victim> withMemberIn(WorkerCapacities reserved, List<Victim> victims) {
    List<Victim> found = new ArrayList<>();
    for (Victim v : victims) {
      for (int w : v.attempt().workers()) {
        if (w >= 0 && (reserved.accelerators(w) > 0 || reserved.cores(w) > 0)) {
          found.add(v);
          break;
        }
      }
    }
    return found;
  }

  /**
   * Returns the borrowers that may be stopped for a job. Urgent ones are a last resort because of
   * their high cost; those of the job's own organisation are never stopped.
   */
  private List<Victim> victims(Job job) {
    List<Victim> victims = new ArrayList<>();
    for (PlacedAttempt a : state.attempts()) {
      if (a.guaranteed() || state.isStopped(a) || isUrgentOfSameOrganisation(a, job)) {
        continue;
      }
      double cost = a.stopCost(state.view().nowMillis());
      victims.add(new Victim(a, a.running().job().urgent() ? cost * URGENT_COST_FACTOR : cost));
    }
    return victims;
  }

  private static boolean isUrgentOfSameOrganisation(PlacedAttempt attempt, Job job) {
    Job other = attempt.running().job();
    return other.urgent() && other.organisation().equals(job.organisation());
  }

  /**
   * Places a job in reserved capacity. Fills the workers with the least reserved capacity left
   * first, so that whole slots remain for other jobs.
   */
  private Optional<int[]> place(
      Job job, WorkerCapacities available, WorkerCapacities reserved, boolean[] avoid) {
    WorkerCapacities capacities = state.availableToHolder(job.organisation(), available);
    capacities.limitTo(reserved);
    return placer.place(job.shape(), capacities, avoid, new LeastReservedFirst(reserved));
  }

  private record LeastReservedFirst(WorkerCapacities reserved) implements GangPlacer.Preference {

    @Override
    public int ofWorker(int worker) {
      return Math.max(0, reserved.accelerators(worker));
    }

    @Override
    public int ofRack(int rack, int members) {
      return members;
    }
  }

  private long expectedStartMillis() {
    return state.view().nowMillis()
        + state.view().declarations().policy().reclaimBound().toMillis();
  }
}
