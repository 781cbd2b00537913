package org.fescuehook.logic.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;

/** Numbers the declared workers and their racks, so that plans can use arrays. */
final class FleetIndex {

  private final List<Worker> workers;
  private final Map<WorkerId, Integer> numbers = new HashMap<>();
  private final int[] rackOf;
  private final int[][] workersOfRack;
  private final int accelerators;

  FleetIndex(Fleet fleet) {
    workers = fleet.workers();
    rackOf = new int[workers.size()];
    Map<RackId, Integer> rackNumbers = new HashMap<>();
    List<List<Integer>> racks = new ArrayList<>();
    int sum = 0;
    for (int w = 0; w < workers.size(); w++) {
      Worker worker = workers.get(w);
      numbers.put(worker.id(), w);
      sum += worker.capacity().accelerators();
      rackOf[w] = rackNumbers.computeIfAbsent(worker.rack(), r -> racks.size());
      if (rackOf[w] == racks.size()) {
        racks.add(new ArrayList<>());
      }
      racks.get(rackOf[w]).add(w);
    }
    accelerators = sum;
    workersOfRack = new int[racks.size()][];
    for (int r = 0; r < workersOfRack.length; r++) {
      workersOfRack[r] = racks.get(r).stream().mapToInt(Integer::intValue).toArray();
    }
  }

  int workerCount() {
    return workers.size();
  }

  int rackCount() {
    return workersOfRack.length;
  }

  /** Returns the total number of accelerators. */
  int accelerators() {
    return accelerators;
  }

  /** Returns a new copy of the declared capacity of all workers. */
  WorkerCapacities capacity() {
    WorkerCapacities capacities = WorkerCapacities.empty(workers.size());
    for (int w = 0; w < workers.size(); w++) {
      capacities.add(w, workers.get(w).capacity());
    }
    return capacities;
  }

  Worker worker(int number) {
    return workers.get(number);
  }

  /** Returns the number of a worker, or -1 if it is not declared. */
  int number(WorkerId id) {
    Integer number = numbers.get(id);
    return number == null ? -1 : number;
  }

  int rackOf(int worker) {
    return rackOf[worker];
  }

  /** Returns the numbers of a rack's workers; must not be modified. */
  int[] workersOfRack(int rack) {
    return workersOfRack[rack];
  }

  /** Returns the numbers of the members' workers; -1 for workers that are no longer declared. */
  int[] numbers(List<WorkerId> members) {
    int[] found = new int[members.size()];
    for (int m = 0; m < found.length; m++) {
      found[m] = number(members.get(m));
    }
    return found;
  }
}
