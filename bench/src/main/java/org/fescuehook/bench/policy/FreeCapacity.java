package org.fescuehook.bench.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.scheduling.Scheduler.Running;
import org.fescuehook.logic.scheduling.Scheduler.View;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Placement;
import org.fescuehook.model.job.Shape;

/** What is free on each usable worker, worked out plainly for simple policies and for measures. */
final class FreeCapacity {

  private final Map<WorkerId, Worker> workers = new LinkedHashMap<>();
  private final Map<WorkerId, Capacity> free = new LinkedHashMap<>();

  FreeCapacity(View view) {
    for (Worker w : view.declarations().fleet().workers()) {
      if (!view.unusable().contains(w.id())) {
        workers.put(w.id(), w);
        free.put(w.id(), w.capacity());
      }
    }
    for (Running r : view.running()) {
      take(r.placement(), r.job().shape());
    }
  }

  void take(Placement placement, Shape shape) {
    for (WorkerId id : placement.members()) {
      free.computeIfPresent(id, (w, c) -> c.minus(shape.perMember()));
    }
  }

  int accelerators() {
    return free.values().stream().mapToInt(Capacity::accelerators).sum();
  }

  /** Returns the first place for a whole gang, in the order of racks and workers. */
  Optional<Placement> firstFit(Shape shape, Set<WorkerId> avoid) {
    if (shape.maxRacks() == 0 || shape.members() == 1) {
      return fill(shape, workers.keySet(), avoid);
    }
    List<RackFit> racks = racks(shape, avoid);
    for (RackFit rack : racks) {
      if (rack.members() >= shape.members()) {
        return fill(shape, rack.workers(), avoid);
      }
    }
    List<WorkerId> chosen = new ArrayList<>();
    racks.stream()
        .sorted((a, b) -> Integer.compare(b.members(), a.members()))
        .limit(shape.maxRacks())
        .forEach(r -> chosen.addAll(r.workers()));
    return fill(shape, chosen, avoid);
  }

  /** Returns how many members fit within the rack bound of a shape, at most all of them. */
  int mostMembers(Shape shape, Set<WorkerId> avoid) {
    long racks = shape.maxRacks() == 0 ? Long.MAX_VALUE : shape.maxRacks();
    int sum =
        racks(shape, avoid).stream()
            .map(RackFit::members)
            .sorted((a, b) -> Integer.compare(b, a))
            .limit(racks)
            .mapToInt(Integer::intValue)
            .sum();
    return Math.min(sum, shape.members());
  }

  private record RackFit(List<WorkerId> workers, int members) {}

  private List<RackFit> racks(Shape shape, Set<WorkerId> avoid) {
    Map<RackId, List<WorkerId>> byRack = new LinkedHashMap<>();
    workers
        .values()
        .forEach(w -> byRack.computeIfAbsent(w.rack(), r -> new ArrayList<>()).add(w.id()));
    List<RackFit> racks = new ArrayList<>();
    for (List<WorkerId> ids : byRack.values()) {
      int members = 0;
      for (WorkerId id : ids) {
        members += avoid.contains(id) ? 0 : fits(id, shape);
      }
      racks.add(new RackFit(ids, members));
    }
    return racks;
  }

  private int fits(WorkerId id, Shape shape) {
    return Math.min(shape.members(), free.get(id).fits(shape.perMember()));
  }

  private Optional<Placement> fill(Shape shape, Collection<WorkerId> ids, Set<WorkerId> avoid) {
    List<WorkerId> members = new ArrayList<>();
    for (WorkerId id : ids) {
      int fit = avoid.contains(id) ? 0 : fits(id, shape);
      for (int i = 0; i < fit && members.size() < shape.members(); i++) {
        members.add(id);
      }
      if (members.size() == shape.members()) {
        return Optional.of(new Placement(members));
      }
    }
    return Optional.empty();
  }
}
