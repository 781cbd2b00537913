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

/** Starts the jobs that guarantees cover, and has borrowers give way to them. */
final class GuaranteeStep {

  private static final double URGENT_FACTOR = 100;

  private final PlanState state;
  private final GangPlacer placer;
  private final PolicyFeatures parts;
  private final StopTerms terms;
  private final QuotaStep quotas;
  private final Set<Demand> withoutStart = new HashSet<>();
  private final Set<Demand> withoutReclaim = new HashSet<>();
  private final Set<Shape> withoutRoom = new HashSet<>();

  GuaranteeStep(PlanState state, GangPlacer placer, PolicyFeatures parts, QuotaStep quotas) {
    this.quotas = quotas;
    this.state = state;
    this.placer = placer;
    this.parts = parts;
    this.terms = new StopTerms(state.view().declarations().policy());
  }

  /**
   * Deals with the jobs that guarantees cover: starts them at their homes or keeps these for them.
   * A job that can start as a borrower elsewhere is left to its turn among the others, which spares
   * borrowers a stop. An organisation's urgent job that its guarantees do not cover goes before its
   * other jobs.
   *
   * @return the jobs that are not dealt with, in the same order
   */
  List<Candidate> accept(List<Candidate> candidates) {
    List<Candidate> covered = covered(candidates);
    state.protect(holders(covered));
    Set<Candidate> open = new HashSet<>();
    Set<Candidate> done = new HashSet<>();
    for (Candidate c : covered) {
      List<Room> homes = homes(c);
      if (!quotas.allows(c) || (!homes.isEmpty() && startOrAwait(c, homes))) {
        done.add(c);
      } else if (!homes.isEmpty()) {
        open.add(c);
      }
    }
    state.protect(holders(open));
    List<Candidate> left = new ArrayList<>(candidates);
    left.removeIf(c -> done.contains(c) || (open.contains(c) && !canBorrow(c) && reclaim(c)));
    return left;
  }

  /** Returns the jobs that guarantees would cover if each were alone. */
  private List<Candidate> covered(List<Candidate> candidates) {
    List<Candidate> covered = new ArrayList<>();
    Set<OrganisationId> urgent = new HashSet<>();
    for (Candidate c : candidates) {
      OrganisationId organisation = c.job().organisation();
      boolean yields = !c.job().urgent() && urgent.contains(organisation);
      if (!yields && !homes(c).isEmpty()) {
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
   * What jobs have in common that fare alike. Room only shrinks in the course of a plan, so what
   * one of them did not get, the next will not get either.
   */
  private record Demand(OrganisationId organisation, Shape shape, boolean urgent) {

    static Demand of(Candidate candidate) {
      Job job = candidate.job();
      return new Demand(job.organisation(), job.shape(), job.urgent());
    }
  }

  private boolean startOrAwait(Candidate candidate, List<Room> homes) {
    Demand demand = Demand.of(candidate);
    if (withoutStart.contains(demand)) {
      return false;
    }
    boolean[] avoid = state.avoid(candidate.waiting());
    if (startAtHome(candidate, homes, avoid) || awaitStops(candidate, homes, avoid)) {
      return true;
    }
    if (candidate.waiting().avoid().isEmpty()) {
      withoutStart.add(demand);
    }
    return false;
  }

  private boolean canBorrow(Candidate candidate) {
    Shape shape = candidate.job().shape();
    if (!candidate.mayBorrow() || withoutRoom.contains(shape)) {
      return false;
    }
    boolean[] avoid = state.avoid(candidate.waiting());
    if (placer.fits(shape, state.borrowable(state.free()), avoid)) {
      return true;
    }
    if (candidate.waiting().avoid().isEmpty()) {
      withoutRoom.add(shape);
    }
    return false;
  }

  /** Has borrowers give way to a job that could not start elsewhere after all. */
  boolean reclaim(Candidate candidate) {
    Demand demand = Demand.of(candidate);
    if (!parts.reclaim() || withoutReclaim.contains(demand)) {
      return false;
    }
    List<Room> homes = homes(candidate);
    boolean[] avoid = state.avoid(candidate.waiting());
    if (!homes.isEmpty()
        && (awaitStops(candidate, homes, avoid) || reclaim(candidate, homes, avoid))) {
      return true;
    }
    if (candidate.waiting().avoid().isEmpty()) {
      withoutReclaim.add(demand);
    }
    return false;
  }

  /** Returns the homes in which the job would be within its guarantee. */
  private List<Room> homes(Candidate candidate) {
    List<Room> homes = state.guarantees().roomsFor(candidate.job());
    if (homes.isEmpty()) {
      return homes;
    }
    boolean[] avoid = state.avoid(candidate.waiting());
    homes.removeIf(home -> !placer.fits(candidate.job().shape(), home, avoid));
    return homes;
  }

  private boolean startAtHome(Candidate candidate, List<Room> homes, boolean[] avoid) {
    Job job = candidate.job();
    for (Room home : homes) {
      Optional<int[]> workers = place(job, state.free(), home, avoid);
      if (workers.isPresent() && state.useGuarantee(job, workers.get())) {
        state.start(candidate, workers.get(), false);
        return true;
      }
    }
    return false;
  }

  private boolean awaitStops(Candidate candidate, List<Room> homes, boolean[] avoid) {
    Job job = candidate.job();
    for (Room home : homes) {
      Optional<int[]> workers = place(job, state.soon(job), home, avoid);
      if (workers.isPresent() && state.useGuarantee(job, workers.get())) {
        state.hold(job, workers.get());
        state.explain(candidate, "waits for borrowers that were told to stop", dueMillis());
        return true;
      }
    }
    return false;
  }

  private boolean reclaim(Candidate candidate, List<Room> homes, boolean[] avoid) {
    Job job = candidate.job();
    List<Victim> eligible = victims(job);
    Room soon = state.beside(job.organisation(), state.soon(job));
    VictimSelector selector = new VictimSelector(state.index());
    Optional<Selection> best = Optional.empty();
    for (Room home : homes) {
      Optional<Selection> found =
          selector.select(job.shape(), soon, home, avoid, at(home, eligible));
      if (found.isPresent() && (best.isEmpty() || found.get().cost() < best.get().cost())) {
        best = found;
      }
    }
    if (best.isEmpty()) {
      return false;
    }
    StopCause cause = job.urgent() ? StopCause.URGENT : StopCause.RECLAIMED;
    for (Victim v : best.get().victims()) {
      state.stop(v.occupant(), terms.stop(v.occupant().running(), cause, job));
    }
    return awaitStops(candidate, homes, avoid);
  }

  /** Returns the victims that have a member on a worker of a home. */
  private static List<Victim> at(Room home, List<Victim> victims) {
    List<Victim> there = new ArrayList<>();
    for (Victim v : victims) {
      for (int w : v.occupant().workers()) {
        if (w >= 0 && (home.accelerators(w) > 0 || home.cores(w) > 0)) {
          there.add(v);
          break;
        }
      }
    }
    return there;
  }

  /** Returns borrowers; urgent ones only as a last resort, those of the same organisation never. */
  private List<Victim> victims(Job job) {
    List<Victim> victims = new ArrayList<>();
    for (Occupant o : state.occupants()) {
      if (o.guaranteed() || state.isStopped(o) || isOwnUrgent(o, job)) {
        continue;
      }
      double cost = o.stopCost(state.view().nowMillis());
      victims.add(new Victim(o, o.running().job().urgent() ? cost * URGENT_FACTOR : cost));
    }
    return victims;
  }

  private static boolean isOwnUrgent(Occupant occupant, Job job) {
    Job other = occupant.running().job();
    return other.urgent() && other.organisation().equals(job.organisation());
  }

  /** Places a job at home, first in the slots that have least left, so that others stay whole. */
  private Optional<int[]> place(Job job, Room available, Room home, boolean[] avoid) {
    Room room = state.beside(job.organisation(), available);
    room.lowerTo(home);
    return placer.place(job.shape(), room, avoid, new HomePreference(home));
  }

  private record HomePreference(Room home) implements GangPlacer.Preference {

    @Override
    public int ofWorker(int worker) {
      return Math.max(0, home.accelerators(worker));
    }

    @Override
    public int ofRack(int rack, int members) {
      return members;
    }
  }

  private long dueMillis() {
    return state.view().nowMillis()
        + state.view().declarations().policy().reclaimBound().toMillis();
  }
}
