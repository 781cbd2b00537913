package org.fescuehook.logic.batch.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.plan.StepTiming.Prospect;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.LiveRun.Stage;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.model.preferences.WorkPreferences;

/**
 * Decides what starts where and what gives way. Without memory: the same state gives the same plan.
 */
public final class Planner {

  /**
   * Part of the bound in which guaranteed work has to begin that is left, beside the time of a
   * stop, once it no longer waits for a place near its data: for a plan that was put off, the store
   * and a start without an answer.
   */
  private static final Duration RECLAIM_RESERVE = Duration.ofMillis(1300);

  /**
   * How long other work waits for a place near its data, in its estimated duration. Elsewhere it
   * takes three times as long and holds its room for as long; on heavy days 8 was better than 2 to
   * 4 and than the former 8 s for all (docs/MEASUREMENTS.md, heavy days).
   */
  private static final int PATIENCE_DURATIONS = 8;

  /**
   * Share of the accelerators that work which is not urgent leaves free, so that urgent work starts
   * without waiting for others to stop. Heavy days: best of 0.2 to 0.45.
   */
  private static final double HEADROOM = 0.35;

  /**
   * The same for work that has hardly any spare time left. What starts in this room is soon thrown
   * out again by urgent work, so it is not given up altogether.
   */
  private static final double PRESSED_HEADROOM = 0.25;

  /**
   * Work that has waited this long while less than half of the fleet is in use may take what is
   * kept for urgent work. The users' bound on idle room is 3 s.
   */
  private static final long IDLE_PATIENCE_NANOS = Duration.ofSeconds(2).toNanos();

  /**
   * After this time in an idle fleet it also starts away from its data. Longer than the work of
   * most jobs, as a start elsewhere after a shorter wait ends later than one near the data after
   * all.
   */
  private static final long IDLE_NEARNESS_NANOS = Duration.ofSeconds(12).toNanos();

  private final Function<StepProgress, Rank> ranks;
  private final WorkPreferences work;

  /**
   * Creates a planner.
   *
   * @param ranks precedence of steps that run
   * @param work how work behaves on the executors
   */
  public Planner(Function<StepProgress, Rank> ranks, WorkPreferences work) {
    this.ranks = ranks;
    this.work = work;
  }

  /**
   * What to do.
   *
   * @param starts where tasks start
   * @param stops runs that give way
   */
  public record Plan(List<TaskPlacement> starts, List<Preemption> stops) {}

  /**
   * A run that gives way.
   *
   * @param run the run
   * @param beneficiary the step that needs its place
   */
  public record Preemption(LiveRun run, WaitingStep beneficiary) {}

  /**
   * Makes a plan.
   *
   * @param waiting steps whose turn has come, in any order
   * @param executors executors that may get new runs
   */
  public Plan plan(
      Collection<WaitingStep> waiting, Collection<ExecutorState> executors, long nowNanos) {
    List<WaitingStep> order = new ArrayList<>(waiting);
    order.sort(WaitingStep.ORDER);
    Pass pass =
        new Pass(executors, new Preemptor(ranks, work, nowNanos), guaranteedPatience(), nowNanos);
    order.forEach(pass::take);
    return new Plan(List.copyOf(pass.starts), List.copyOf(pass.stops));
  }

  /** Returns how long guaranteed work waits for a place near its data before its first start. */
  private long guaranteedPatience() {
    Duration patience = work.reclaimBound().minus(work.stopTime()).minus(RECLAIM_RESERVE);
    return Math.max(0, patience.toNanos());
  }

  /** One plan being made. */
  private static final class Pass {
    private final FleetCapacity free;
    private final FleetCapacity expected;
    private final FleetCapacity whole;
    private final List<TaskPlacement> starts = new ArrayList<>();
    private final List<Preemption> stops = new ArrayList<>();

    private final Preemptor displacer;
    private final long guaranteedPatienceNanos;

    Pass(
        Collection<ExecutorState> executors,
        Preemptor displacer,
        long guaranteedPatienceNanos,
        long nowNanos) {
      this.displacer = displacer;
      this.guaranteedPatienceNanos = guaranteedPatienceNanos;
      free = FleetCapacity.now(executors, nowNanos);
      expected = FleetCapacity.now(executors, nowNanos);
      whole = FleetCapacity.empty(executors, nowNanos);
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
      int allowed = allowed(waiting);
      if (allowed == 0) {
        return;
      }
      List<TaskPlacement> places =
          free.first(waiting, nearOnly(waiting))
              .map(group -> FleetCapacity.place(waiting, waiting.tasks(), group))
              .orElse(List.of());
      places = places.subList(0, Math.min(places.size(), allowed));
      places.forEach(this::start);
      boolean incomplete = places.size() < waiting.tasks().size();
      if (incomplete && waiting.urgent()) {
        // Asked again: these starts may have filled the fleet that was idle before, and only in an
        // idle fleet is there room to spare for starts away from the data.
        displace(waiting.rest(places.size()), nearOnly(waiting));
      }
    }

    private void takeGang(WaitingStep waiting) {
      if (allowed(waiting) < waiting.tasks().size()) {
        return;
      }
      boolean nearOnly = nearOnly(waiting);
      Optional<List<TaskPlacement>> now = tightest(waiting, free, nearOnly);
      if (now.isPresent()) {
        now.get().forEach(this::start);
        return;
      }
      displace(waiting, nearOnly);
    }

    /** Waits for capacity that is being freed, or has other work give way. */
    private void displace(WaitingStep waiting, boolean nearOnly) {
      Optional<List<TaskPlacement>> soon = tightest(waiting, expected, nearOnly);
      if (soon.isPresent()) {
        soon.get().forEach(this::reserve);
        return;
      }
      if (!waiting.urgent() && !pressed(waiting)) {
        return;
      }
      Optional<Preemptor.Selection> choice = displacer.choose(waiting, expected, nearOnly);
      if (choice.isPresent()) {
        displacer.carriedOut(choice.get());
        choice.get().victims().forEach(run -> stops.add(new Preemption(run, waiting)));
        choice.get().places().forEach(this::reserve);
      }
    }

    /** Returns how many tasks of a step may start without using up what urgent work may need. */
    private int allowed(WaitingStep waiting) {
      int accelerators = waiting.step().spec().demand().accelerators();
      if (waiting.urgent() || accelerators == 0) {
        return Integer.MAX_VALUE;
      }
      if (idleFor(waiting, IDLE_PATIENCE_NANOS)) {
        return Integer.MAX_VALUE;
      }
      double kept = whole.accelerators() * (pressed(waiting) ? PRESSED_HEADROOM : HEADROOM);
      return (int) Math.max(0, (free.accelerators() - kept) / accelerators);
    }

    /** Tells whether a step has hardly any time left; what comes too late anyway is not pressed. */
    private static boolean pressed(WaitingStep waiting) {
      return waiting.timing().pressed() && waiting.timing().prospect() != Prospect.TOO_LATE;
    }

    /** Tells whether a step has waited for a time although most of the fleet is free. */
    private boolean idleFor(WaitingStep waiting, long nanos) {
      return waiting.timing().queuedNanos() > nanos && free.overHalfOf(whole);
    }

    /** Tells whether a step has to start near its data: it could, and has not waited long. */
    private boolean nearOnly(WaitingStep waiting) {
      if (impatient(waiting)) {
        return false;
      }
      int wanted = waiting.step().spec().gang() ? waiting.tasks().size() : 1;
      return whole.tightest(waiting, wanted, true).isPresent();
    }

    private boolean impatient(WaitingStep waiting) {
      if (idleFor(waiting, IDLE_NEARNESS_NANOS)) {
        return true;
      }
      StepTiming timing = waiting.timing();
      boolean due = waiting.rank().guaranteed() && !waiting.step().job().begun();
      if (due && timing.waitedNanos() > guaranteedPatienceNanos) {
        return true;
      }
      long duration = TimeUnit.MILLISECONDS.toNanos(waiting.step().spec().estimateMillis());
      return timing.queuedNanos() > duration * PATIENCE_DURATIONS;
    }

    /** Places all tasks in the group with the least room to spare in which they fit. */
    private static Optional<List<TaskPlacement>> tightest(
        WaitingStep waiting, FleetCapacity room, boolean nearOnly) {
      List<TaskProgress> tasks = waiting.tasks();
      return room.tightest(waiting, tasks.size(), nearOnly)
          .map(group -> FleetCapacity.place(waiting, tasks, group));
    }

    private void start(TaskPlacement place) {
      starts.add(place);
      reserve(place);
    }

    private void reserve(TaskPlacement place) {
      free.take(place);
      expected.take(place);
    }
  }
}
