package org.fescuehook.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.fescuehook.bench.policy.LowerBound.Work;

/**
 * What a policy would reach that knows the true run times and stops and goes on with gangs at no
 * cost, on accelerators without workers, racks, guarantees or quotas. Gangs stay whole. It serves
 * the shortest work first and is not proven to be the best such policy.
 */
final class PooledReference {

  private final int accelerators;

  PooledReference(int accelerators) {
    this.accelerators = accelerators;
  }

  private static final class Active {
    private final Work work;
    private double left;
    private boolean runs;

    private Active(Work work) {
      this.work = work;
      this.left = work.runSeconds();
    }

    private double cost() {
      return left * work.acceleratorSeconds();
    }
  }

  /** Returns the mean slowdown. */
  double meanSlowdown(List<Work> jobs) {
    List<Work> arrivals = new ArrayList<>(jobs);
    arrivals.sort(Comparator.comparingDouble(Work::submittedSeconds));
    List<Active> active = new ArrayList<>();
    double now = 0;
    double sum = 0;
    int next = 0;
    while (next < arrivals.size() || !active.isEmpty()) {
      double arrival =
          next < arrivals.size() ? arrivals.get(next).submittedSeconds() : Double.MAX_VALUE;
      double until = Math.min(arrival, now + shortestRunning(active));
      for (Active a : active) {
        a.left -= a.runs ? until - now : 0;
      }
      now = until;
      for (Active a : active) {
        sum += a.left <= 1e-6 ? (now - a.work.submittedSeconds()) / a.work.runSeconds() : 0;
      }
      active.removeIf(a -> a.left <= 1e-6);
      while (next < arrivals.size() && arrivals.get(next).submittedSeconds() <= now) {
        active.add(new Active(arrivals.get(next++)));
      }
      choose(active);
    }
    return jobs.isEmpty() ? 1 : sum / jobs.size();
  }

  private static double shortestRunning(List<Active> active) {
    double shortest = Double.MAX_VALUE;
    for (Active a : active) {
      shortest = a.runs ? Math.min(shortest, a.left) : shortest;
    }
    return shortest;
  }

  private void choose(List<Active> active) {
    active.sort(Comparator.comparingDouble(Active::cost));
    int free = accelerators;
    for (Active a : active) {
      a.runs = a.work.accelerators() <= free;
      free -= a.runs ? a.work.accelerators() : 0;
    }
  }
}
