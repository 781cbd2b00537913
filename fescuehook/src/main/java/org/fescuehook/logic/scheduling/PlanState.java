package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.scheduling.Scheduler.Explanation;
import org.fescuehook.logic.scheduling.Scheduler.Plan;
import org.fescuehook.logic.scheduling.Scheduler.RunningAttempt;
import org.fescuehook.logic.scheduling.Scheduler.Start;
import org.fescuehook.logic.scheduling.Scheduler.Stop;
import org.fescuehook.logic.scheduling.Scheduler.StopCause;
import org.fescuehook.logic.scheduling.Scheduler.View;
import org.fescuehook.logic.scheduling.Scheduler.WaitingJob;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Placement;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;

/** The books of one plan: what is free, what is used within guarantees, and what was decided. */
final class PlanState {

  private final View view;
  private final FleetIndex index;
  private final RunTimeEstimator estimator;
  private final boolean[] unusable;
  private final boolean[] suspect;
  private final int[] freeInRack;
  private final Room free;
  private final Room soon;
  private final Room verySoon;
  private final Set<AttemptId> stoppedAtOnce;
  private final GuaranteeBook guarantees;
  private final List<Occupant> occupants = new ArrayList<>();
  private final Map<OrganisationId, int[]> inUse = new HashMap<>();
  private final Map<OrganisationId, Organisation> organisations = new HashMap<>();
  private int used;

  private final List<Start> starts = new ArrayList<>();
  private final List<Stop> stops = new ArrayList<>();
  private Set<OrganisationId> protectedHolders = Set.of();
  private Room protectedHomes;
  private final Set<AttemptId> stopped = new HashSet<>();
  private final Map<JobId, Explanation> reasons = new LinkedHashMap<>();

  /**
   * Opens the books.
   *
   * @param unusable workers that get nothing new, by number; not to be changed
   * @param stoppedAtOnce attempts that were told to stop within the urgent bound
   */
  PlanState(
      View view,
      FleetIndex index,
      RunTimeEstimator estimator,
      GuaranteedHomes homes,
      boolean[] unusable,
      Set<AttemptId> stoppedAtOnce) {
    this.view = view;
    this.stoppedAtOnce = stoppedAtOnce;
    this.index = index;
    this.estimator = estimator;
    this.unusable = unusable;
    this.suspect = new boolean[index.workerCount()];
    this.freeInRack = new int[index.rackCount()];
    this.free = index.capacity();
    for (int w = 0; w < unusable.length; w++) {
      if (unusable[w]) {
        free.clear(w);
      }
    }
    this.soon = free.copy();
    this.verySoon = free.copy();
    this.protectedHomes = Room.empty(index.workerCount());
    this.guarantees = new GuaranteeBook(homes, index.workerCount());
    markSuspects();
    view.declarations().organisations().forEach(o -> organisations.put(o.id(), o));
    view.running().forEach(this::addRunning);
    for (int w = 0; w < unusable.length; w++) {
      freeInRack[index.rackOf(w)] += Math.max(0, free.accelerators(w));
    }
  }

  private void markSuspects() {
    view.history()
        .workers()
        .forEach(
            (id, record) -> {
              int worker = index.number(id);
              if (worker >= 0) {
                suspect[worker] = true;
              }
            });
  }

  private void addRunning(RunningAttempt running) {
    Job job = running.job();
    int[] workers = index.numbers(running.placement().members());
    boolean guaranteed = !running.borrowed() && guarantees.use(job, workers);
    double ran = (view.nowMillis() - running.startedMillis()) / 1000.0 + running.keptSeconds();
    occupants.add(new Occupant(running, workers, guaranteed, estimator.left(job, ran)));
    Capacity unit = job.shape().perMember();
    takeUsable(free, workers, unit);
    if (!running.stopping()) {
      takeUsable(soon, workers, unit);
    }
    if (!running.stopping() || !stoppedAtOnce.contains(running.attempt())) {
      takeUsable(verySoon, workers, unit);
    }
    countUse(job);
  }

  private void takeUsable(Room room, int[] workers, Capacity unit) {
    for (int w : workers) {
      if (w >= 0 && !unusable[w]) {
        room.take(w, unit);
      }
    }
  }

  private void countUse(Job job) {
    inUse.computeIfAbsent(job.organisation(), o -> new int[1])[0] += job.shape().accelerators();
    used += job.shape().accelerators();
  }

  View view() {
    return view;
  }

  FleetIndex index() {
    return index;
  }

  RunTimeEstimator estimator() {
    return estimator;
  }

  /** Returns what is free now and not held for a job. */
  Room free() {
    return free;
  }

  /** Keeps all others off the unused homes of these organisations, whose jobs wait for them. */
  void protect(Set<OrganisationId> holders) {
    protectedHolders = Set.copyOf(holders);
    protectedHomes = Room.empty(index.workerCount());
    holders.forEach(o -> guarantees.addUnused(o, protectedHomes));
  }

  /**
   * Counts a job as within its organisation's guarantees.
   *
   * @return false if it is not, and nothing was counted
   */
  boolean useGuarantee(Job job, int[] workers) {
    if (!guarantees.use(job, workers)) {
      return false;
    }
    if (protectedHolders.contains(job.organisation())) {
      protectedHomes.take(workers, job.shape().perMember());
    }
    return true;
  }

  /** Returns what borrowers may use of a room: all but protected homes. Not to be changed. */
  Room borrowable(Room room) {
    if (protectedHolders.isEmpty()) {
      return room;
    }
    Room left = room.copy();
    left.takeAll(protectedHomes);
    return left;
  }

  /** Returns what a holder may use of a room: all but protected homes of others. */
  Room beside(OrganisationId holder, Room room) {
    Room left = room.copy();
    left.takeAll(protectedHomes);
    if (protectedHolders.contains(holder)) {
      guarantees.addUnused(holder, left);
    }
    return left;
  }

  /** Returns what is free once the attempts have ended that were told to stop in good time. */
  Room soon(Job job) {
    return job.urgent() ? verySoon : soon;
  }

  /** Returns what holders use of their guaranteed shapes. */
  GuaranteeBook guarantees() {
    return guarantees;
  }

  List<Occupant> occupants() {
    return occupants;
  }

  /** Returns the share of all accelerators that is in use. */
  double load() {
    return index.accelerators() == 0 ? 0 : (double) used / index.accelerators();
  }

  /**
   * Returns the workers on which a job may not stand, by number: unusable ones, and those on which
   * it failed unless it fits nowhere else.
   */
  boolean[] avoid(WaitingJob waiting) {
    if (waiting.avoid().isEmpty()) {
      return unusable;
    }
    boolean[] avoid = unusable.clone();
    for (WorkerId id : waiting.avoid()) {
      int worker = index.number(id);
      if (worker >= 0) {
        avoid[worker] = true;
      }
    }
    boolean elsewhere = new GangPlacer(index).fits(waiting.job().shape(), index.capacity(), avoid);
    return elsewhere ? avoid : unusable;
  }

  /** Tells whether a job failed on a worker and none finished there since. */
  boolean isSuspect(int worker) {
    return suspect[worker];
  }

  /** Returns the free accelerators in the rack of a worker. */
  int freeInRackOf(int worker) {
    return freeInRack[index.rackOf(worker)];
  }

  /** Returns by how many accelerators a job would take its organisation above its quota. */
  int overQuota(Job job) {
    Organisation organisation = organisations.get(job.organisation());
    if (organisation == null || job.shape().accelerators() == 0) {
      return 0;
    }
    int[] own = inUse.getOrDefault(job.organisation(), new int[1]);
    return own[0] + job.shape().accelerators() - organisation.quotaAccelerators();
  }

  /** Returns each organisation's decayed use, running attempts included. */
  Map<OrganisationId, Double> weightedUse() {
    Map<OrganisationId, Double> uses = new HashMap<>();
    for (OrganisationId id : organisations.keySet()) {
      double ended = view.history().use(id).acceleratorSecondsAt(view.nowMillis());
      if (ended > 0) {
        uses.put(id, ended);
      }
    }
    for (Occupant o : occupants) {
      Job job = o.running().job();
      double ran = Math.max(0, view.nowMillis() - o.running().startedMillis()) / 1000.0;
      uses.merge(job.organisation(), ran * job.shape().accelerators(), Double::sum);
    }
    return uses;
  }

  boolean isStopped(Occupant occupant) {
    return occupant.running().stopping() || stopped.contains(occupant.running().attempt());
  }

  /** Starts a job now. */
  void start(Candidate candidate, int[] workers, boolean borrowed) {
    List<WorkerId> members = new ArrayList<>(workers.length);
    for (int w : workers) {
      members.add(index.worker(w).id());
    }
    Job job = candidate.job();
    starts.add(new Start(job.id(), new Placement(members), candidate.match().rule(), borrowed));
    hold(job, workers);
  }

  /** Keeps room for a job, so that no later one in the order gets it. */
  void hold(Job job, int[] workers) {
    countUse(job);
    free.take(workers, job.shape().perMember());
    for (int w : workers) {
      freeInRack[index.rackOf(w)] -= job.shape().perMember().accelerators();
    }
    soon.take(workers, job.shape().perMember());
    verySoon.take(workers, job.shape().perMember());
  }

  /** Stops an attempt for the sake of a job. */
  void stop(Occupant occupant, Stop stop) {
    stops.add(stop);
    stopped.add(stop.attempt());
    Capacity unit = occupant.running().job().shape().perMember();
    giveUsable(soon, occupant.workers(), unit);
    if (stop.cause() == StopCause.URGENT) {
      giveUsable(verySoon, occupant.workers(), unit);
    }
  }

  private void giveUsable(Room room, int[] workers, Capacity unit) {
    for (int w : workers) {
      if (w >= 0 && !unusable[w]) {
        room.give(w, unit);
      }
    }
  }

  /** Says in words what a shape lacks. */
  String missing(Shape shape) {
    int sum = 0;
    for (int f : freeInRack) {
      sum += f;
    }
    if (shape.accelerators() > sum) {
      return "needs " + shape.accelerators() + " accelerators, " + sum + " are free";
    }
    String racks = shape.maxRacks() == 0 ? "any racks" : "at most " + shape.maxRacks() + " racks";
    return "needs "
        + shape.members()
        + " members of "
        + shape.perMember().accelerators()
        + " accelerators in "
        + racks
        + "; "
        + sum
        + " are free, but scattered";
  }

  void explain(Candidate candidate, String missing, long expectedStartMillis) {
    reasons.put(
        candidate.job().id(),
        new Explanation(candidate.match().rule(), missing, expectedStartMillis));
  }

  Optional<Explanation> explanation(JobId job) {
    return Optional.ofNullable(reasons.get(job));
  }

  Plan plan() {
    return new Plan(List.copyOf(starts), List.copyOf(stops), Map.copyOf(reasons));
  }
}
