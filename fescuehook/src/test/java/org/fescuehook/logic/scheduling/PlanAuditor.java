package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.fescuehook.logic.scheduling.Scheduler.Plan;
import org.fescuehook.logic.scheduling.Scheduler.RunningAttempt;
import org.fescuehook.logic.scheduling.Scheduler.Start;
import org.fescuehook.logic.scheduling.Scheduler.Stop;
import org.fescuehook.logic.scheduling.Scheduler.View;
import org.fescuehook.logic.scheduling.Scheduler.WaitingJob;
import org.fescuehook.logic.trace.ReplayListener;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * Checks each plan independently of the scheduler's own accounting: placements stay within
 * capacities, and all unused guarantees could be claimed at the same time.
 */
final class PlanAuditor implements ReplayListener {

  private final List<String> violations = new ArrayList<>();

  List<String> violations() {
    return violations;
  }

  @Override
  public void decided(View view, Plan plan) {
    checkStarts(view, plan);
    checkStops(view, plan);
    checkReasons(view, plan);
    checkGuaranteesClaimable(view, plan);
  }

  private void addViolation(View view, String text) {
    violations.add("at " + view.nowMillis() + ": " + text);
  }

  private void checkStarts(View view, Plan plan) {
    Map<JobId, WaitingJob> waiting = new HashMap<>();
    view.waiting().forEach(w -> waiting.put(w.job().id(), w));
    Map<WorkerId, Worker> workers = workers(view);
    Map<WorkerId, Capacity> used = new HashMap<>();
    view.running().forEach(r -> add(used, r.job(), r.placement().members()));
    for (Start s : plan.starts()) {
      WaitingJob w = waiting.remove(s.job());
      if (w == null) {
        addViolation(view, s.job() + " started although it is not waiting, or started twice");
        continue;
      }
      checkPlacement(view, w, s, workers);
      add(used, w.job(), s.placement().members());
    }
    used.forEach(
        (id, sum) -> {
          if (!workers.get(id).capacity().contains(sum)) {
            addViolation(view, id + " is used beyond its capacity: " + sum);
          }
        });
  }

  private void checkPlacement(View view, WaitingJob w, Start s, Map<WorkerId, Worker> workers) {
    List<WorkerId> members = s.placement().members();
    if (members.size() != w.job().shape().members()) {
      addViolation(view, s.job() + " starts with only some of its members");
    }
    Set<RackId> racks =
        members.stream().map(m -> workers.get(m).rack()).collect(Collectors.toSet());
    int maxRacks = w.job().shape().maxRacks();
    if (maxRacks > 0 && racks.size() > maxRacks) {
      addViolation(view, s.job() + " is spread over " + racks);
    }
    for (WorkerId m : members) {
      if (view.unusable().contains(m)) {
        addViolation(view, s.job() + " starts on unusable " + m);
      }
      if (w.avoid().contains(m) && fitsElsewhere(view, w)) {
        addViolation(view, s.job() + " starts again on avoided " + m);
      }
    }
  }

  private static boolean fitsElsewhere(View view, WaitingJob w) {
    Set<WorkerId> excluded = new HashSet<>(view.unusable());
    excluded.addAll(w.avoid());
    Declarations remaining = withoutWorkers(view.declarations(), excluded);
    return new FeasibilityChecker()
        .infeasibilityReason(remaining, w.job().organisation(), w.job().shape())
        .isEmpty();
  }

  private void checkStops(View view, Plan plan) {
    Map<AttemptId, RunningAttempt> running = new HashMap<>();
    view.running().forEach(r -> running.put(r.attempt(), r));
    for (Stop s : plan.stops()) {
      RunningAttempt r = running.remove(s.attempt());
      if (r == null || r.stopping()) {
        addViolation(
            view, s.attempt() + " is stopped although it is not running, or stopped twice");
      }
    }
  }

  private void checkReasons(View view, Plan plan) {
    Set<JobId> started = plan.starts().stream().map(Start::job).collect(Collectors.toSet());
    for (WaitingJob w : view.waiting()) {
      if (!started.contains(w.job().id()) && !plan.reasons().containsKey(w.job().id())) {
        addViolation(view, w.job().id() + " waits without a reason");
      }
    }
  }

  /**
   * Checks that every organisation without running attempts could claim all its guaranteed shapes
   * at once: the first plan may stop borrowers, the second one must start all remaining jobs.
   */
  private void checkGuaranteesClaimable(View view, Plan plan) {
    if (!guaranteesAreFeasible(view)) {
      return;
    }
    List<RunningAttempt> running = after(view, plan);
    Set<OrganisationId> organisationsWithAttempts = new HashSet<>();
    running.forEach(r -> organisationsWithAttempts.add(r.job().organisation()));
    List<WaitingJob> claims = claims(view, organisationsWithAttempts);
    if (claims.isEmpty()) {
      return;
    }
    GuaranteeScheduler scheduler = new GuaranteeScheduler();
    View firstView = with(view, claims, running);
    Plan firstPlan = scheduler.plan(firstView);
    Set<JobId> startedClaims =
        firstPlan.starts().stream().map(Start::job).collect(Collectors.toSet());
    List<RunningAttempt> stillRunning = after(firstView, firstPlan);
    stillRunning.removeIf(RunningAttempt::stopping);
    List<WaitingJob> remainingClaims = new ArrayList<>(claims);
    remainingClaims.removeIf(w -> startedClaims.contains(w.job().id()));
    Plan secondPlan = scheduler.plan(with(view, remainingClaims, stillRunning));
    if (secondPlan.starts().size() != remainingClaims.size()) {
      addViolation(
          view, "guaranteed shapes cannot be claimed: " + firstPlan + ", then " + secondPlan);
    }
  }

  private static boolean guaranteesAreFeasible(View view) {
    Declarations usable = withoutWorkers(view.declarations(), view.unusable());
    return new FeasibilityChecker().infeasibleGuarantees(usable).isEmpty();
  }

  private static Declarations withoutWorkers(Declarations d, Set<WorkerId> removed) {
    List<Worker> remaining =
        d.fleet().workers().stream().filter(w -> !removed.contains(w.id())).toList();
    Fleet fleet = new Fleet(remaining, List.of());
    return new Declarations(d.organisations(), d.guarantees(), d.rules(), fleet, d.policy());
  }

  private static View with(View view, List<WaitingJob> waiting, List<RunningAttempt> running) {
    return new View(
        view.nowMillis(), view.declarations(), waiting, running, view.unusable(), view.history());
  }

  private static List<RunningAttempt> after(View view, Plan plan) {
    Set<AttemptId> stopped = plan.stops().stream().map(Stop::attempt).collect(Collectors.toSet());
    List<RunningAttempt> running = new ArrayList<>();
    for (RunningAttempt r : view.running()) {
      boolean stopping = r.stopping() || stopped.contains(r.attempt());
      running.add(
          new RunningAttempt(
              r.job(),
              r.attempt(),
              r.placement(),
              r.borrowed(),
              r.startedMillis(),
              r.keptSeconds(),
              stopping));
    }
    Map<JobId, Job> jobs = new HashMap<>();
    view.waiting().forEach(w -> jobs.put(w.job().id(), w.job()));
    for (Start s : plan.starts()) {
      AttemptId attempt = new AttemptId(s.job(), 99);
      Job job = jobs.get(s.job());
      running.add(
          new RunningAttempt(
              job, attempt, s.placement(), s.borrowed(), view.nowMillis(), 0, false));
    }
    return running;
  }

  private static List<WaitingJob> claims(View view, Set<OrganisationId> organisationsWithAttempts) {
    List<WaitingJob> claims = new ArrayList<>();
    for (GuaranteedShape g : view.declarations().guarantees()) {
      for (int i = 0; i < g.count() && !organisationsWithAttempts.contains(g.organisation()); i++) {
        Job job =
            new Job(
                new JobId("demand-" + g.name() + "-" + i),
                g.organisation(),
                Optional.empty(),
                g.shape(),
                false,
                false,
                60,
                view.nowMillis(),
                "test");
        claims.add(new WaitingJob(job, 0, 0, Set.of()));
      }
    }
    return claims;
  }

  private static Map<WorkerId, Worker> workers(View view) {
    Map<WorkerId, Worker> workers = new HashMap<>();
    view.declarations().fleet().workers().forEach(w -> workers.put(w.id(), w));
    return workers;
  }

  private static void add(Map<WorkerId, Capacity> used, Job job, List<WorkerId> members) {
    members.forEach(m -> used.merge(m, job.shape().perMember(), Capacity::plus));
  }
}
