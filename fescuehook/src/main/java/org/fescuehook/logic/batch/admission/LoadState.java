package org.fescuehook.logic.batch.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.fescuehook.logic.batch.plan.Rank;
import org.fescuehook.logic.batch.plan.StepTiming.Prospect;

/**
 * The backlog and the rate at which it drains, at one moment.
 *
 * @param waiting the work that waits to start, by what decides its order
 * @param rates the drain rate of each pool for which it is known
 * @param usableShares the share of each pool on which new runs may be placed
 */
record LoadState(
    List<WaitingWork> waiting, Map<String, Double> rates, Map<String, Double> usableShares) {

  LoadState {
    waiting = List.copyOf(waiting);
    rates = Map.copyOf(rates);
    usableShares = Map.copyOf(usableShares);
  }

  /** Knows nothing, as after a takeover. */
  static final LoadState UNKNOWN = new LoadState(List.of(), Map.of(), Map.of());

  /** Work that waits to start. */
  record WaitingWork(
      String pool,
      Optional<String> label,
      Rank rank,
      Prospect prospect,
      String organisation,
      double work) {}

  /**
   * The work that goes before a job.
   *
   * @param inTime work that goes before it as long as it can still meet its objective
   * @param late further work that goes before it once it cannot
   */
  record WorkAhead(double inTime, double late) {
    double all() {
      return inTime + late;
    }
  }

  /** Returns the same state with jobs that have been accepted since. */
  LoadState with(List<JobDemand> jobs) {
    List<WaitingWork> more = new ArrayList<>(waiting);
    for (JobDemand job : jobs) {
      more.add(
          new WaitingWork(
              job.pool(),
              job.label(),
              job.rank(),
              Prospect.IN_TIME,
              job.organisation(),
              job.work()));
    }
    return new LoadState(more, rates, usableShares);
  }

  OptionalDouble rate(String pool) {
    Double rate = rates.get(pool);
    return rate == null ? OptionalDouble.empty() : OptionalDouble.of(rate);
  }

  double usableShare(String pool) {
    return usableShares.getOrDefault(pool, 0.0);
  }

  /**
   * Returns the work that goes before a new job. Work that is too late to be of use does not, nor
   * does work for which other executors may be used.
   *
   * @param fairShares whether capacity is divided among organisations, so that others of the same
   *     rank get no more than this job's organisation while it waits
   */
  WorkAhead ahead(JobDemand job, boolean fairShares) {
    Map<String, double[]> byOrganisation = new HashMap<>();
    double better = 0;
    for (WaitingWork other : waiting) {
      boolean competes =
          job.competesWith(other.pool(), other.label())
              && !job.rank().before(other.rank())
              && other.prospect() != Prospect.TOO_LATE;
      if (!competes) {
        continue;
      }
      if (other.rank().before(job.rank())) {
        better += other.work();
      } else {
        double[] sums = byOrganisation.computeIfAbsent(other.organisation(), name -> new double[2]);
        sums[other.prospect() == Prospect.IN_TIME ? 0 : 1] += other.work();
      }
    }
    double[] own = byOrganisation.getOrDefault(job.organisation(), new double[2]);
    double fairShare = fairShares ? own[0] + own[1] + job.work() : Double.MAX_VALUE;
    double inTime = better;
    double late = 0;
    for (double[] sums : byOrganisation.values()) {
      double countedInTime = Math.min(sums[0], fairShare);
      inTime += countedInTime;
      late += Math.min(sums[1], fairShare - countedInTime);
    }
    return new WorkAhead(inTime, late);
  }
}
