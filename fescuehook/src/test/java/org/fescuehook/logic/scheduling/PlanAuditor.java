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

/** Checks each decision by plain sums of its own, and lets all absent holders return at once. */
final class PlanAuditor implements ReplayListener {

  private final List<String> faults = new ArrayList<>();

  List<String> faults() {
    return faults;
  }

  @Override
  public void decided(View view, Plan plan) {
    checkStarts(view, plan);
    checkStops(view, plan);
    checkExplained(view, plan);
    checkReclaimable(view, plan);
  }

  private void fault(View view, String text) {
    faults.add("at " + view.nowMillis() + ": " + text);
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
        fault(view, s.job() + " started though it does not wait, or twice");
        continue;
      }
      checkPlacement(view, w, s, workers);
      add(used, w.job(), s.placement().members());
    }
    used.forEach(
        (id, sum) -> {
          if (!workers.get(id).capacity().contains(sum)) {
            fault(view, id + " is used beyond its capacity: " + sum);
          }
        });
  }

  private void checkPlacement(View view, WaitingJob w, Start s, Map<WorkerId, Worker> workers) {
    List<WorkerId> members = s.placement().members();
    if (members.size() != w.job().shape().members()) {
      fault(view, s.job() + " starts with a part of its members");
    }
    Set<RackId> racks =
        members.stream().map(m -> workers.get(m).rack()).collect(Collectors.toSet());
    int maxRacks = w.job().shape().maxRacks();
    if (maxRacks > 0 && racks.size() > maxRacks) {
      fault(view, s.job() + " is spread over " + racks);
    }
    for (WorkerId m : members) {
      if (view.unusable().contains(m)) {
        fault(view, s.job() + " starts on unusable " + m);
      }
      if (w.avoid().contains(m) && fitsElsewhere(view, w)) {
        fault(view, s.job() + " starts again on " + m);
      }
    }
  }

  private static boolean fitsElsewhere(View view, WaitingJob w) {
    Set<WorkerId> without = new HashSet<>(view.unusable());
    without.addAll(w.avoid());
    Declarations left = without(view.declarations(), without);
    return new FeasibilityChecker()
        .whyNever(left, w.job().organisation(), w.job().shape())
        .isEmpty();
  }

  private void checkStops(View view, Plan plan) {
    Map<AttemptId, RunningAttempt> running = new HashMap<>();
    view.running().forEach(r -> running.put(r.attempt(), r));
    for (Stop s : plan.stops()) {
      RunningAttempt r = running.remove(s.attempt());
      if (r == null || r.stopping()) {
        fault(view, s.attempt() + " is stopped though it does not run, or twice");
      }
    }
  }

  private void checkExplained(View view, Plan plan) {
    Set<JobId> started = plan.starts().stream().map(Start::job).collect(Collectors.toSet());
    for (WaitingJob w : view.waiting()) {
      if (!started.contains(w.job().id()) && !plan.reasons().containsKey(w.job().id())) {
        fault(view, w.job().id() + " waits without a reason");
      }
    }
  }

  /** Lets every organisation without running work demand all its shapes, in two steps. */
  private void checkReclaimable(View view, Plan plan) {
    if (!guaranteesCanBeKept(view)) {
      return;
    }
    List<RunningAttempt> running = after(view, plan);
    Set<OrganisationId> present = new HashSet<>();
    running.forEach(r -> present.add(r.job().organisation()));
    List<WaitingJob> demand = demand(view, present);
    if (demand.isEmpty()) {
      return;
    }
    GuaranteeScheduler scheduler = new GuaranteeScheduler();
    View first = with(view, demand, running);
    Plan reclaim = scheduler.plan(first);
    Set<JobId> served = reclaim.starts().stream().map(Start::job).collect(Collectors.toSet());
    List<RunningAttempt> left = after(first, reclaim);
    left.removeIf(RunningAttempt::stopping);
    List<WaitingJob> open = new ArrayList<>(demand);
    open.removeIf(w -> served.contains(w.job().id()));
    Plan second = scheduler.plan(with(view, open, left));
    if (second.starts().size() != open.size()) {
      fault(view, "guaranteed shapes cannot be reclaimed: " + reclaim + ", then " + second);
    }
  }

  private static boolean guaranteesCanBeKept(View view) {
    Declarations usable = without(view.declarations(), view.unusable());
    return new FeasibilityChecker().unkeepableGuarantees(usable).isEmpty();
  }

  private static Declarations without(Declarations d, Set<WorkerId> gone) {
    List<Worker> left = d.fleet().workers().stream().filter(w -> !gone.contains(w.id())).toList();
    Fleet fleet = new Fleet(left, List.of());
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

  private static List<WaitingJob> demand(View view, Set<OrganisationId> present) {
    List<WaitingJob> demand = new ArrayList<>();
    for (GuaranteedShape g : view.declarations().guarantees()) {
      for (int i = 0; i < g.count() && !present.contains(g.organisation()); i++) {
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
        demand.add(new WaitingJob(job, 0, 0, Set.of()));
      }
    }
    return demand;
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
