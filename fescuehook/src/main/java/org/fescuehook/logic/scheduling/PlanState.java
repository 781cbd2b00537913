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

/** Mutable state of one plan: free capacity, use of the guarantees, and the decisions so far. */
final class PlanState {

  private final View view;
  private final FleetIndex index;
  private final RunTimeEstimator estimator;
  private final boolean[] unusable;
  private final boolean[] suspect;
  private final int[] freeInRack;
  private final WorkerCapacities free;
  private final WorkerCapacities freeAfterStops;
  private final WorkerCapacities freeAfterUrgentStops;
  private final Set<AttemptId> stoppedForUrgentJobs;
  private final GuaranteeUsage guarantees;
  private final List<PlacedAttempt> attempts = new ArrayList<>();
  private final Map<OrganisationId, int[]> acceleratorsInUse = new HashMap<>();
  private final Map<OrganisationId, Organisation> organisations = new HashMap<>();
  private int totalAcceleratorsInUse;

  private final List<Start> starts = new ArrayList<>();
  private final List<Stop> stops = new ArrayList<>();
  private Set<OrganisationId> protectedHolders = Set.of();
  private WorkerCapacities protectedCapacity;
  private final Set<AttemptId> stopped = new HashSet<>();
  private final Map<JobId, Explanation> reasons = new LinkedHashMap<>();

  /**
   * Creates the state before any decision.
   *
   * @param unusable whether each worker, by number, gets no new attempts; must not be modified
   * @param stoppedForUrgentJobs attempts that were ordered to stop within the bound for urgent
   *     starts
   */
  PlanState(
      View view,
      FleetIndex index,
      RunTimeEstimator estimator,
      ReservedPlacements placements,
      boolean[] unusable,
      Set<AttemptId> stoppedForUrgentJobs) {
    this.view = view;
    this.stoppedForUrgentJobs = stoppedForUrgentJobs;
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
    this.freeAfterStops = free.copy();
    this.freeAfterUrgentStops = free.copy();
    this.protectedCapacity = WorkerCapacities.empty(index.workerCount());
    this.guarantees = new GuaranteeUsage(placements, index.workerCount());
    markSuspects();
    view.declarations().organisations().forEach(o -> organisations.put(o.id(), o));
    view.running().forEach(this::addAttempt);
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

  private void addAttempt(RunningAttempt running) {
    Job job = running.job();
    int[] workers = index.numbers(running.placement().members());
    boolean guaranteed = !running.borrowed() && guarantees.charge(job, workers);
    double ran = (view.nowMillis() - running.startedMillis()) / 1000.0 + running.keptSeconds();
    attempts.add(
        new PlacedAttempt(running, workers, guaranteed, estimator.remainingSeconds(job, ran)));
    Capacity unit = job.shape().perMember();
    subtractUsable(free, workers, unit);
    if (!running.stopping()) {
      subtractUsable(freeAfterStops, workers, unit);
    }
    if (!running.stopping() || !stoppedForUrgentJobs.contains(running.attempt())) {
      subtractUsable(freeAfterUrgentStops, workers, unit);
    }
    addUse(job);
  }

  private void subtractUsable(WorkerCapacities capacities, int[] workers, Capacity unit) {
    for (int w : workers) {
      if (w >= 0 && !unusable[w]) {
        capacities.subtract(w, unit);
      }
    }
  }

  private void addUse(Job job) {
    acceleratorsInUse.computeIfAbsent(job.organisation(), o -> new int[1])[0] +=
        job.shape().accelerators();
    totalAcceleratorsInUse += job.shape().accelerators();
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

  /** Returns the capacity that is free now and not allocated to a job by this plan. */
  WorkerCapacities free() {
    return free;
  }

  /** Bars all other jobs from the unused reserved placements of organisations with waiting jobs. */
  void protectReservedPlacements(Set<OrganisationId> holders) {
    protectedHolders = Set.copyOf(holders);
    protectedCapacity = WorkerCapacities.empty(index.workerCount());
    holders.forEach(o -> guarantees.addUnused(o, protectedCapacity));
  }

  /**
   * Charges a job to its organisation's guarantees.
   *
   * @return false if the guarantees do not cover it on these workers; nothing is charged then
   */
  boolean chargeGuarantee(Job job, int[] workers) {
    if (!guarantees.charge(job, workers)) {
      return false;
    }
    if (protectedHolders.contains(job.organisation())) {
      protectedCapacity.subtract(workers, job.shape().perMember());
    }
    return true;
  }

  /**
   * Returns the part of a capacity that borrowers may use: all but the protected placements. Must
   * not be modified.
   */
  WorkerCapacities availableToBorrowers(WorkerCapacities capacities) {
    if (protectedHolders.isEmpty()) {
      return capacities;
    }
    WorkerCapacities available = capacities.copy();
    available.subtractAll(protectedCapacity);
    return available;
  }

  /**
   * Returns the part of a capacity that the holder of a guarantee may use: all but the protected
   * placements of other organisations.
   */
  WorkerCapacities availableToHolder(OrganisationId holder, WorkerCapacities capacities) {
    WorkerCapacities available = capacities.copy();
    available.subtractAll(protectedCapacity);
    if (protectedHolders.contains(holder)) {
      guarantees.addUnused(holder, available);
    }
    return available;
  }

  /**
   * Returns the capacity that is free once stopping attempts have ended; for an urgent job only
   * those that were ordered to stop within the bound for urgent starts.
   */
  WorkerCapacities freeAfterStops(Job job) {
    return job.urgent() ? freeAfterUrgentStops : freeAfterStops;
  }

  /** Returns how much of the guarantees is in use. */
  GuaranteeUsage guarantees() {
    return guarantees;
  }

  List<PlacedAttempt> attempts() {
    return attempts;
  }

  /** Returns the fraction of all accelerators that is in use. */
  double load() {
    return index.accelerators() == 0 ? 0 : (double) totalAcceleratorsInUse / index.accelerators();
  }

  /**
   * Returns, by worker number, whether a job must not be placed on the worker: true for unusable
   * workers and, unless the job fits nowhere else, for those on which it failed.
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

  /** Returns whether a job failed on a worker and none has finished there since. */
  boolean isSuspect(int worker) {
    return suspect[worker];
  }

  /** Returns the free accelerators in the rack of a worker. */
  int freeInRackOf(int worker) {
    return freeInRack[index.rackOf(worker)];
  }

  /**
   * Returns by how many accelerators a job would exceed its organisation's quota; may be negative.
   */
  int overQuota(Job job) {
    Organisation organisation = organisations.get(job.organisation());
    if (organisation == null || job.shape().accelerators() == 0) {
      return 0;
    }
    int[] ofOrganisation = acceleratorsInUse.getOrDefault(job.organisation(), new int[1]);
    return ofOrganisation[0] + job.shape().accelerators() - organisation.quotaAccelerators();
  }

  /**
   * Returns the exponentially decayed accelerator seconds of each organisation, including running
   * attempts.
   */
  Map<OrganisationId, Double> decayedUse() {
    Map<OrganisationId, Double> uses = new HashMap<>();
    for (OrganisationId id : organisations.keySet()) {
      double ended = view.history().use(id).acceleratorSecondsAt(view.nowMillis());
      if (ended > 0) {
        uses.put(id, ended);
      }
    }
    for (PlacedAttempt a : attempts) {
      Job job = a.running().job();
      double ran = Math.max(0, view.nowMillis() - a.running().startedMillis()) / 1000.0;
      uses.merge(job.organisation(), ran * job.shape().accelerators(), Double::sum);
    }
    return uses;
  }

  boolean isStopped(PlacedAttempt attempt) {
    return attempt.running().stopping() || stopped.contains(attempt.running().attempt());
  }

  /** Plans to start a job now on the given workers. */
  void start(Candidate candidate, int[] workers, boolean borrowed) {
    List<WorkerId> members = new ArrayList<>(workers.length);
    for (int w : workers) {
      members.add(index.worker(w).id());
    }
    Job job = candidate.job();
    starts.add(new Start(job.id(), new Placement(members), candidate.match().rule(), borrowed));
    allocate(job, workers);
  }

  /** Allocates capacity to a job, so that jobs later in the order cannot use it. */
  void allocate(Job job, int[] workers) {
    addUse(job);
    free.subtract(workers, job.shape().perMember());
    for (int w : workers) {
      freeInRack[index.rackOf(w)] -= job.shape().perMember().accelerators();
    }
    freeAfterStops.subtract(workers, job.shape().perMember());
    freeAfterUrgentStops.subtract(workers, job.shape().perMember());
  }

  /** Plans to stop an attempt to free its resources for a job. */
  void stop(PlacedAttempt attempt, Stop stop) {
    stops.add(stop);
    stopped.add(stop.attempt());
    Capacity unit = attempt.running().job().shape().perMember();
    addUsable(freeAfterStops, attempt.workers(), unit);
    if (stop.cause() == StopCause.URGENT) {
      addUsable(freeAfterUrgentStops, attempt.workers(), unit);
    }
  }

  private void addUsable(WorkerCapacities capacities, int[] workers, Capacity unit) {
    for (int w : workers) {
      if (w >= 0 && !unusable[w]) {
        capacities.add(w, unit);
      }
    }
  }

  /** Describes which resources are missing for a shape. */
  String describeShortage(Shape shape) {
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
