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
import org.fescuehook.logic.scheduling.Scheduler.Running;
import org.fescuehook.logic.scheduling.Scheduler.Start;
import org.fescuehook.logic.scheduling.Scheduler.Stop;
import org.fescuehook.logic.scheduling.Scheduler.View;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Placement;
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
  private final Room unguaranteed;
  private final Entitlements entitlements;
  private final List<Occupant> occupants = new ArrayList<>();
  private final Map<OrganisationId, int[]> inUse = new HashMap<>();
  private final Map<OrganisationId, Organisation> organisations = new HashMap<>();
  private final int[][] wantedHomes;
  private GuaranteedHomes homes;
  private int used;

  private final List<Start> starts = new ArrayList<>();
  private final List<Stop> stops = new ArrayList<>();
  private final Set<AttemptId> stopped = new HashSet<>();
  private final Map<JobId, Explanation> reasons = new LinkedHashMap<>();

  PlanState(View view, FleetIndex index, RunTimeEstimator estimator, int[][] wantedHomes) {
    this.view = view;
    this.index = index;
    this.estimator = estimator;
    this.wantedHomes = wantedHomes;
    this.unusable = new boolean[index.workerCount()];
    this.suspect = new boolean[index.workerCount()];
    this.freeInRack = new int[index.rackCount()];
    this.unguaranteed = Room.empty(index.workerCount());
    fillRoom();
    markSuspects();
    this.free = unguaranteed.copy();
    this.soon = unguaranteed.copy();
    this.entitlements = new Entitlements(view.declarations().guarantees());
    view.declarations().organisations().forEach(o -> organisations.put(o.id(), o));
    view.running().forEach(this::addRunning);
    for (int w = 0; w < unusable.length; w++) {
      freeInRack[index.rackOf(w)] += Math.max(0, free.accelerators(w));
    }
    this.homes = GuaranteedHomes.find(index, entitlements, unguaranteed, wantedHomes);
  }

  private void fillRoom() {
    for (WorkerId id : view.unusable()) {
      int worker = index.number(id);
      if (worker >= 0) {
        unusable[worker] = true;
      }
    }
    for (int w = 0; w < unusable.length; w++) {
      if (!unusable[w]) {
        unguaranteed.give(w, index.worker(w).capacity());
      }
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

  private void addRunning(Running running) {
    Job job = running.job();
    int[] workers = index.numbers(running.placement().members());
    boolean guaranteed = !running.borrowed() && useGuarantee(job, workers);
    double ran = (view.nowMillis() - running.startedMillis()) / 1000.0 + running.keptSeconds();
    occupants.add(new Occupant(running, workers, guaranteed, estimator.left(job, ran)));
    Capacity unit = job.shape().perMember();
    takeUsable(free, workers, unit);
    if (!running.stopping()) {
      takeUsable(soon, workers, unit);
    }
    if (guaranteed) {
      takeUsable(unguaranteed, workers, unit);
    }
    countUse(job);
  }

  private boolean useGuarantee(Job job, int[] workers) {
    var parts = entitlements.coverRunning(job.organisation(), job.shape(), workers, wantedHomes);
    parts.ifPresent(p -> entitlements.use(p, job.shape().perMember()));
    return parts.isPresent();
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

  /** Returns what is free once the attempts that were told to stop have ended. */
  Room soon() {
    return soon;
  }

  /** Returns what is not used within guarantees. */
  Room unguaranteed() {
    return unguaranteed;
  }

  Entitlements entitlements() {
    return entitlements;
  }

  GuaranteedHomes homes() {
    return homes;
  }

  List<Occupant> occupants() {
    return occupants;
  }

  /** Returns the share of all accelerators that is in use. */
  double load() {
    return index.accelerators() == 0 ? 0 : (double) used / index.accelerators();
  }

  /** Returns the workers on which a job may not stand, by number. */
  boolean[] avoid(Set<WorkerId> failedOn) {
    if (failedOn.isEmpty()) {
      return unusable;
    }
    boolean[] avoid = unusable.clone();
    for (WorkerId id : failedOn) {
      int worker = index.number(id);
      if (worker >= 0) {
        avoid[worker] = true;
      }
    }
    return avoid;
  }

  /** Tells whether a job failed on a worker and none finished there since. */
  boolean isSuspect(int worker) {
    return suspect[worker];
  }

  /** Returns the free accelerators in the rack of a worker. */
  int freeInRackOf(int worker) {
    return freeInRack[index.rackOf(worker)];
  }

  /** Tells whether a job would take its organisation above its quota. */
  boolean isOverQuota(Job job) {
    Organisation organisation = organisations.get(job.organisation());
    if (organisation == null || job.shape().accelerators() == 0) {
      return false;
    }
    int[] own = inUse.getOrDefault(job.organisation(), new int[1]);
    return own[0] + job.shape().accelerators() > organisation.quotaAccelerators();
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
    countUse(job);
  }

  /** Keeps room for a job, so that no later one in the order gets it. */
  void hold(Job job, int[] workers) {
    free.take(workers, job.shape().perMember());
    for (int w : workers) {
      freeInRack[index.rackOf(w)] -= job.shape().perMember().accelerators();
    }
    soon.take(workers, job.shape().perMember());
  }

  /** Counts a job as one that runs, or will run, within its organisation's guarantees. */
  void useGuarantee(Job job, int[] workers, List<Entitlements.Part> parts) {
    homes.release(parts, job.shape().perMember());
    entitlements.use(parts, job.shape().perMember());
    unguaranteed.take(workers, job.shape().perMember());
  }

  /** Counts a job as one within guarantees and finds new homes; does nothing if there are none. */
  boolean useGuaranteeElsewhere(Job job, int[] workers, List<Entitlements.Part> parts) {
    Capacity unit = job.shape().perMember();
    entitlements.use(parts, unit);
    unguaranteed.take(workers, unit);
    GuaranteedHomes moved =
        GuaranteedHomes.find(index, entitlements, unguaranteed, homes.bySlot());
    if (moved.isComplete()) {
      homes = moved;
      return true;
    }
    entitlements.giveBack(parts, unit);
    unguaranteed.give(workers, unit);
    return false;
  }

  /** Stops an attempt for the sake of a job. */
  void stop(Occupant occupant, Stop stop) {
    stops.add(stop);
    stopped.add(stop.attempt());
    Capacity unit = occupant.running().job().shape().perMember();
    for (int w : occupant.workers()) {
      if (w >= 0 && !unusable[w]) {
        soon.give(w, unit);
      }
    }
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
