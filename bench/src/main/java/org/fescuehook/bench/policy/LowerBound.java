package org.fescuehook.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/**
 * A lower bound on the mean slowdown of any policy, from the true run times.
 *
 * <p>All accelerators are taken as one machine that can be divided at will. Preemptive service in
 * the order of weight over work minimises the weighted sum of mean busy times there, and a job ends
 * at least half its run time after its mean busy time. Jobs of different windows of submission are
 * taken as if they never met, which can only lower the bound; the best window counts.
 */
final class LowerBound {

  private static final long HOUR_SECONDS = 3600;
  private static final long[] WINDOWS = {
    HOUR_SECONDS, 6 * HOUR_SECONDS, 24 * HOUR_SECONDS, 96 * HOUR_SECONDS, Long.MAX_VALUE
  };

  private final int accelerators;

  LowerBound(int accelerators) {
    this.accelerators = accelerators;
  }

  /**
   * A job with its true run time.
   *
   * @param submittedSeconds time of submission
   * @param runSeconds true run time
   */
  record Work(double submittedSeconds, double runSeconds, int accelerators) {

    double acceleratorSeconds() {
      return runSeconds * accelerators;
    }

    /** The weight of a slowdown is one over the run time. */
    double density() {
      return 1 / (runSeconds * acceleratorSeconds());
    }
  }

  /** Returns a number that the mean slowdown of no policy can be below. */
  double meanSlowdown(List<Work> jobs) {
    double best = jobs.size();
    for (long window : WINDOWS) {
      best = Math.max(best, sumOverWindows(jobs, window));
    }
    return jobs.isEmpty() ? 1 : best / jobs.size();
  }

  private double sumOverWindows(List<Work> jobs, long window) {
    Map<Long, List<Work>> byWindow = new TreeMap<>();
    double sum = 0;
    for (Work job : jobs) {
      if (job.accelerators() == 0) {
        sum++;
        continue;
      }
      long key = (long) job.submittedSeconds() / window;
      byWindow.computeIfAbsent(key, k -> new ArrayList<>()).add(job);
    }
    for (List<Work> group : byWindow.values()) {
      sum += Math.max(group.size(), sumOfSlowdowns(group));
    }
    return sum;
  }

  /** A job that is being served. */
  private static final class Active {
    private final Work work;
    private double left;
    private double slowdown;

    private Active(Work work) {
      this.work = work;
      this.left = work.acceleratorSeconds();
      this.slowdown = 0.5 - work.submittedSeconds() / work.runSeconds();
    }

    /** Counts the service from one time to another towards the mean busy time. */
    private void serve(double from, double until, double served) {
      double share = served / work.acceleratorSeconds();
      slowdown += share * (from + until) / 2 / work.runSeconds();
      left -= served;
    }
  }

  private double sumOfSlowdowns(List<Work> jobs) {
    List<Work> arrivals = new ArrayList<>(jobs);
    arrivals.sort(Comparator.comparingDouble(Work::submittedSeconds));
    PriorityQueue<Active> active =
        new PriorityQueue<>(Comparator.comparingDouble(a -> -a.work.density()));
    double now = 0;
    double sum = 0;
    int next = 0;
    while (next < arrivals.size() || !active.isEmpty()) {
      if (active.isEmpty()) {
        now = Math.max(now, arrivals.get(next).submittedSeconds());
      }
      while (next < arrivals.size() && arrivals.get(next).submittedSeconds() <= now) {
        active.add(new Active(arrivals.get(next++)));
      }
      double until =
          next < arrivals.size() ? arrivals.get(next).submittedSeconds() : Double.MAX_VALUE;
      Active first = active.element();
      double end = now + first.left / accelerators;
      if (end <= until) {
        first.serve(now, end, first.left);
        sum += first.slowdown;
        active.remove();
        now = end;
      } else {
        first.serve(now, until, (until - now) * accelerators);
        now = until;
      }
    }
    return sum;
  }
}
