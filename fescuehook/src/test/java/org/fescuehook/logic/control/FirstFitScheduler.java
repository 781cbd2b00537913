package org.fescuehook.logic.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Placement;

/**
 * Starts jobs in the order of submission on the first workers that have capacity, and stops the
 * attempts that a test names.
 */
final class FirstFitScheduler implements Scheduler {
  final Set<AttemptId> reclaim = new HashSet<>();

  boolean failing;

  @Override
  public Plan plan(View view) {
    if (failing) {
      throw new IllegalStateException("test");
    }
    Map<WorkerId, Capacity> free = new HashMap<>();
    for (Worker worker : view.declarations().fleet().workers()) {
      if (!view.unusable().contains(worker.id())) {
        free.put(worker.id(), worker.capacity());
      }
    }
    List<Stop> stops = new ArrayList<>();
    for (RunningAttempt running : view.running()) {
      take(free, running.placement().members(), running.job().shape().perMember());
      if (reclaim.contains(running.attempt()) && !running.stopping()) {
        JobId self = running.job().id();
        stops.add(new Stop(running.attempt(), StopCause.RECLAIMED, true, 5000, self));
      }
    }
    List<Start> starts = new ArrayList<>();
    for (WaitingJob waiting : view.waiting()) {
      Optional<List<WorkerId>> places = place(free, waiting);
      if (places.isPresent()) {
        take(free, places.get(), waiting.job().shape().perMember());
        starts.add(new Start(waiting.job().id(), new Placement(places.get()), 0, false));
      }
    }
    return new Plan(starts, stops, Map.of());
  }

  private static Optional<List<WorkerId>> place(Map<WorkerId, Capacity> free, WaitingJob waiting) {
    List<WorkerId> places = new ArrayList<>();
    for (WorkerId worker : free.keySet().stream().sorted().toList()) {
      if (waiting.avoid().contains(worker)) {
        continue;
      }
      int fits = free.get(worker).fits(waiting.job().shape().perMember());
      while (fits > 0 && places.size() < waiting.job().shape().members()) {
        places.add(worker);
        fits--;
      }
    }
    return Optional.of(places).filter(p -> p.size() == waiting.job().shape().members());
  }

  private static void take(Map<WorkerId, Capacity> free, List<WorkerId> places, Capacity unit) {
    for (WorkerId worker : places) {
      Capacity left = free.get(worker);
      if (left != null) {
        free.put(worker, left.contains(unit) ? left.minus(unit) : Capacity.NONE);
      }
    }
  }
}
