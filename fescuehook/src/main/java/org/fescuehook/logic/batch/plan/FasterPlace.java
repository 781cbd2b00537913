package org.fescuehook.logic.batch.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.statistics.ExecutorSpeeds;

/**
 * Decides whether an urgent gang that could only start on executors too slow for its objective
 * waits for faster ones. It waits if, by the expected ends of the runs there, it ends earlier.
 */
final class FasterPlace {

  /** Least gain: expected ends are uncertain, and the capacity stays unused for a part of it. */
  private static final double MIN_GAIN_SHARE = 0.15;

  /** Gangs of one plan for which this is computed; each looks at all runs of its groups. */
  private static final int MAX_GANGS = 4;

  private final RunForecast forecast;
  private final long longestWaitNanos;
  private int considered;

  /**
   * Creates the decision for one plan.
   *
   * @param longestWaitNanos time from the acceptance of a job after which it waits no longer
   */
  FasterPlace(RunForecast forecast, long longestWaitNanos) {
    this.forecast = forecast;
    this.longestWaitNanos = longestWaitNanos;
  }

  /** A group at the time at which enough of its capacity is free. */
  private record Opening(long inNanos, double endsInNanos, List<CandidateExecutor> candidates) {}

  /**
   * A better place for a gang.
   *
   * @param free whether the gang fits there already, so that it need not wait
   */
  record Place(List<TaskPlacement> placements, boolean free) {}

  /** Returns a place where a gang ends earlier; absent if it should start now where it can. */
  Optional<Place> find(
      WaitingStep waiting, List<TaskPlacement> now, FleetCapacity capacity, boolean nearOnly) {
    StepTiming timing = waiting.timing();
    long duration = timing.objectiveNanos() - timing.spareNanos();
    long left = timing.objectiveNanos() - timing.waitedNanos();
    int pace = now.stream().mapToInt(capacity::speedClass).min().orElse(0);
    double endsNow = duration * slowness(pace);
    long longest = Math.min((long) endsNow, longestWaitNanos - timing.waitedNanos());
    // A gang that may crash goes where a crash costs least, whatever the speed.
    boolean applies =
        waiting.urgent()
            && !waiting.mayCrash()
            && forecast.enabled()
            && endsNow > left
            && duration > 0
            && longest > 0;
    if (!applies || considered >= MAX_GANGS) {
      return Optional.empty();
    }
    considered++;
    double latest = endsNow * (1 - MIN_GAIN_SHARE);
    return capacity.groups(waiting, nearOnly).stream()
        .flatMap(group -> opening(waiting, group, pace, duration, longest).stream())
        .filter(opening -> opening.endsInNanos() < latest)
        .min(Comparator.comparingDouble(Opening::endsInNanos))
        .map(
            opening ->
                new Place(
                    FleetCapacity.placeTasks(waiting, waiting.tasks(), opening.candidates()),
                    opening.inNanos() == 0));
  }

  /** Returns when a gang could start on the executors of a group that are faster than a pace. */
  private Optional<Opening> opening(
      WaitingStep waiting,
      List<CandidateExecutor> group,
      int pace,
      long duration,
      long longestNanos) {
    List<CandidateExecutor> faster =
        group.stream()
            .filter(candidate -> !candidate.suspect() && candidate.speedClass() > pace)
            .map(CandidateExecutor::copy)
            .toList();
    List<Release> releases = new ArrayList<>();
    for (CandidateExecutor candidate : faster) {
      for (LiveRun run : candidate.executor().runs()) {
        long left = forecast.leftNanos(run);
        if (left <= longestNanos) {
          releases.add(new Release(left, candidate, run));
        }
      }
    }
    releases.sort(Comparator.comparingLong(Release::inNanos));
    int fitting = FleetCapacity.fits(waiting, faster);
    long at = 0;
    for (Release release : releases) {
      if (fitting >= waiting.tasks().size()) {
        break;
      }
      fitting -= FleetCapacity.fits(waiting, release.candidate());
      release.candidate().release(release.run().demand());
      fitting += FleetCapacity.fits(waiting, release.candidate());
      at = release.inNanos();
    }
    if (fitting < waiting.tasks().size()) {
      return Optional.empty();
    }
    int best = PlacementSpeed.pace(waiting, faster, waiting.tasks().size());
    return Optional.of(new Opening(at, at + duration * slowness(best), faster));
  }

  /** The expected end of a run that holds capacity. */
  private record Release(long inNanos, CandidateExecutor candidate, LiveRun run) {}

  private static double slowness(int speedClass) {
    return Math.exp(-ExecutorSpeeds.logOfClass(speedClass));
  }
}
