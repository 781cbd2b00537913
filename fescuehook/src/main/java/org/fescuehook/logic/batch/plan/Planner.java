package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;

/**
 * Decides what starts where and what gives way. Without memory: the same state gives the same plan.
 */
public final class Planner {

  /**
   * How long guaranteed work waits for a place near its data before it starts anywhere. Its bound
   * is some 2.7 s, of which stopping others takes up to a second.
   */
  private static final long GUARANTEED_PATIENCE_NANOS = Duration.ofMillis(1200).toNanos();

  /**
   * How long other work waits for a place near its data; elsewhere it takes three times as long.
   */
  private static final long PATIENCE_NANOS = Duration.ofSeconds(8).toNanos();

  /**
   * Share of its spare time that work which no guarantee covers and that is not urgent waits before
   * others give way to it: until then it may start on what comes free by itself.
   */
  private static final double SPARE_TIME_WAITED = 0.8;

  /**
   * Share of the accelerators that work which is not urgent leaves free, so that urgent work starts
   * without waiting for others to stop, which takes up to 0.9 s of the 1.5 s that it has to spare.
   * On heavy days 0.25 was the best of 0 to 0.35 (docs/MEASUREMENTS.md, batch jobs).
   */
  private static final double HEADROOM = 0.25;

  private final Function<StepProgress, Rank> ranks;

  /**
   * Creates a planner.
   *
   * @param ranks precedence of steps that run
   */
  public Planner(Function<StepProgress, Rank> ranks) {
    this.ranks = ranks;
  }

  /**
   * What to do.
   *
   * @param starts where tasks start
   * @param stops runs that give way
   */
  public record Plan(List<Place> starts, List<LiveRun> stops) {}

  /**
   * Makes a plan.
   *
   * @param waiting steps whose turn has come, in any order
   * @param executors executors that may get new runs
   */
  public Plan plan(
      Collection<WaitingStep> waiting, Collection<ExecutorState> executors, long nowNanos) {
    List<WaitingStep> order = new ArrayList<>(waiting);
    order.sort(
        Comparator.comparing(WaitingStep::rank).thenComparingLong(WaitingStep::acceptedMillis));
    Pass pass = new Pass(executors, new Displacer(ranks, nowNanos), nowNanos);
    order.forEach(pass::take);
    return new Plan(List.copyOf(pass.starts), List.copyOf(pass.stops));
  }

  /** One plan being made. */
  private static final class Pass {
    private final Room free;
    private final Room expected;
    private final Room whole;
    private final List<Place> starts = new ArrayList<>();
    private final List<LiveRun> stops = new ArrayList<>();

    private final Displacer displacer;

    Pass(Collection<ExecutorState> executors, Displacer displacer, long nowNanos) {
      this.displacer = displacer;
      free = Room.now(executors, nowNanos);
      expected = Room.now(executors, nowNanos);
      whole = Room.empty(executors, nowNanos);
      for (ExecutorState executor : executors) {
        for (LiveRun run : executor.runs()) {
          if (run.stage() == Stage.STOPPING) {
            expected.give(executor, run.demand());
          }
        }
      }
    }

    void take(WaitingStep waiting) {
      if (waiting.step().spec().gang()) {
        takeGang(waiting);
      } else {
        takeTasks(waiting);
      }
    }

    private void takeTasks(WaitingStep waiting) {
      List<Place> places = new ArrayList<>();
      for (List<Slot> group : free.groups(waiting, nearOnly(waiting))) {
        places.addAll(Room.place(waiting, waiting.tasks(), group));
        break;
      }
      int allowed = Math.min(places.size(), allowed(waiting));
      places = places.subList(0, allowed);
      places.forEach(this::start);
      boolean incomplete = places.size() < waiting.tasks().size();
      if (incomplete && waiting.urgent()) {
        displace(waiting.rest(places.size()), nearOnly(waiting));
      }
    }

    private void takeGang(WaitingStep waiting) {
      boolean nearOnly = nearOnly(waiting);
      if (allowed(waiting) < waiting.tasks().size()) {
        return;
      }
      Optional<List<Place>> now = tightest(waiting, free, nearOnly);
      if (now.isPresent()) {
        now.get().forEach(this::start);
        return;
      }
      displace(waiting, nearOnly);
    }

    /** Waits for capacity that is being freed, or has other work give way. */
    private void displace(WaitingStep waiting, boolean nearOnly) {
      Optional<List<Place>> soon = tightest(waiting, expected, nearOnly);
      if (soon.isPresent()) {
        soon.get().forEach(this::reserve);
        return;
      }
      if (!waiting.urgent() && waiting.waitedNanos() < waiting.spareNanos() * SPARE_TIME_WAITED) {
        return;
      }
      Optional<Displacer.Choice> choice = displacer.choose(waiting, expected, nearOnly);
      if (choice.isPresent()) {
        choice.get().victims().forEach(this::stop);
        choice.get().places().forEach(this::reserve);
      }
    }

    /** Returns how many tasks of a step may start without using up what urgent work may need. */
    private int allowed(WaitingStep waiting) {
      int accelerators = waiting.step().spec().demand().accelerators();
      if (waiting.urgent() || accelerators == 0) {
        return Integer.MAX_VALUE;
      }
      boolean pressed = waiting.waitedNanos() > waiting.spareNanos() * SPARE_TIME_WAITED;
      double kept = pressed ? 0 : whole.accelerators() * HEADROOM;
      return (int) Math.max(0, (free.accelerators() - kept) / accelerators);
    }

    /** Tells whether a step has to start near its data: it could, and has not waited long. */
    private boolean nearOnly(WaitingStep waiting) {
      long patience = waiting.rank().guaranteed() ? GUARANTEED_PATIENCE_NANOS : PATIENCE_NANOS;
      if (waiting.waitedNanos() > patience) {
        return false;
      }
      int wanted = waiting.step().spec().gang() ? waiting.tasks().size() : 1;
      return whole.groups(waiting, true).stream()
          .anyMatch(group -> Room.fits(waiting, group) >= wanted);
    }

    /** Finds the group with the least room to spare in which all tasks fit. */
    private Optional<List<Place>> tightest(WaitingStep waiting, Room room, boolean nearOnly) {
      int wanted = waiting.tasks().size();
      return room.groups(waiting, nearOnly).stream()
          .filter(group -> Room.fits(waiting, group) >= wanted)
          .min(Comparator.comparingInt(group -> Room.fits(waiting, group)))
          .map(group -> Room.place(waiting, waiting.tasks(), group));
    }

    private void start(Place place) {
      starts.add(place);
      reserve(place);
    }

    private void reserve(Place place) {
      free.take(place.executor(), place.step().spec().demand());
      expected.take(place.executor(), place.step().spec().demand());
    }

    private void stop(LiveRun run) {
      stops.add(run);
    }
  }
}
