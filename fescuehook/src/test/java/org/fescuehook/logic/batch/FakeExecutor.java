package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchCommand.ExecutorOrder;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;

/**
 * An executor that follows the published protocol: epochs, leases, and ends that it reports until
 * they are acknowledged.
 */
final class FakeExecutor {

  private static final long LONGEST_LEASE_MILLIS = 6000;
  private static final long CHECKPOINT_MILLIS = 500;
  private static final long RESTORE_MILLIS = 250;

  /** How long a reduced capacity may still be exceeded, since the list reports it late. */
  private static final long SHRINK_MILLIS = 4500;

  private final TaskSimulation work;
  private final Map<TaskRun, RunState> active = new LinkedHashMap<>();
  private final Map<TaskName, Integer> highestClosedRuns = new HashMap<>();
  private final List<OrderOutcome.EndedRun> ended = new ArrayList<>();
  private final long clockAhead;
  private ExecutorProfile profile;
  private ResourceVector usableCapacity;
  private boolean checksCapacity = true;
  private long epoch;
  private long leaseUntil;
  private long lastEnd;
  private boolean up = true;
  private int ignoredStops;

  /** State of a run that occupies capacity. */
  private static final class RunState {
    private final String startCheckpoint;
    private final long startedAt;
    private long workedMillis;
    private double exactWorkedMillis;
    private long waitedMillis;
    private long stopAt = Long.MAX_VALUE;
    private long restoringMillis;
    private int throttlePercent = 100;

    RunState(String startCheckpoint, long startedAt) {
      this.startCheckpoint = startCheckpoint;
      this.startedAt = startedAt;
      this.restoringMillis = startCheckpoint.isEmpty() ? 0 : RESTORE_MILLIS;
    }
  }

  FakeExecutor(ExecutorProfile profile, long clockAhead, TaskSimulation work) {
    this.profile = profile;
    this.usableCapacity = profile.capacity();
    this.clockAhead = clockAhead;
    this.work = work;
  }

  ExecutorProfile profile() {
    return profile;
  }

  void setProfile(ExecutorProfile newer) {
    profile = newer;
  }

  /**
   * Makes the executor accept starts that it would reject for lack of capacity; such a start fails
   * the test.
   */
  void skipCapacityCheck() {
    checksCapacity = false;
  }

  /** Changes the executor's capacity and reports that through the list. */
  void resize(ResourceVector capacity, BatchCluster cluster) {
    profile = TestFixtures.withCapacity(profile, capacity);
    if (capacity.contains(usableCapacity)) {
      usableCapacity = capacity;
    } else {
      cluster.in(SHRINK_MILLIS, () -> usableCapacity = profile.capacity());
    }
    cluster.list(profile.id());
  }

  /** Makes the executor acknowledge its next stops without ending the runs. */
  void ignoreStops(int count) {
    ignoredStops = count;
  }

  boolean up() {
    return up;
  }

  /** Returns how many ends the executor still reports, since they are not acknowledged. */
  int unacknowledgedEnds() {
    return ended.size();
  }

  List<TaskRun> running() {
    return List.copyOf(active.keySet());
  }

  /** Loses all runs at once without reporting their ends. */
  void crash(long nowMillis) {
    up = false;
    for (TaskRun run : running()) {
      active.remove(run);
      work.crashingTasks.recordCrash(run, nowMillis);
      work.removeLost(run, nowMillis);
    }
  }

  OrderOutcome handle(long orderEpoch, ExecutorOrder order, long nowMillis) {
    if (orderEpoch < epoch) {
      return new OrderOutcome.Rejected(Rejection.FENCED);
    }
    epoch = orderEpoch;
    return switch (order) {
      case ExecutorOrder.Poll poll -> poll(poll, nowMillis);
      case ExecutorOrder.Start start -> start(start, nowMillis);
      case ExecutorOrder.Stop stop -> stop(stop.run(), nowMillis);
      case ExecutorOrder.Pace pace -> pace(pace, nowMillis);
    };
  }

  private OrderOutcome poll(ExecutorOrder.Poll poll, long nowMillis) {
    ended.removeIf(end -> end.number() <= poll.acknowledged());
    work.recordAcknowledgement(profile.id(), poll.acknowledged());
    poll.leaseUntilMillis().ifPresent(until -> extendLease(until, nowMillis));
    List<OrderOutcome.ActiveRun> runs = new ArrayList<>();
    active.forEach(
        (run, state) ->
            runs.add(
                new OrderOutcome.ActiveRun(
                    run,
                    checkpoint(run, state),
                    work.percent(run, state.workedMillis),
                    work.load(run, workServingNoUsers()))));
    int listed = Math.min(ended.size(), work.endsPerAnswer);
    return new OrderOutcome.Polled(
        profile.incarnation().bornMillis(),
        nowMillis + clockAhead,
        runs,
        List.copyOf(ended.subList(0, listed)),
        listed == work.endsPerAnswer);
  }

  private OrderOutcome pace(ExecutorOrder.Pace pace, long nowMillis) {
    Optional.ofNullable(active.get(pace.run()))
        .ifPresent(state -> state.throttlePercent = pace.percent());
    return new OrderOutcome.Done(nowMillis + clockAhead);
  }

  /**
   * Returns how much work the tasks that serve no users do here at present, in full-speed tasks.
   */
  private double workServingNoUsers() {
    double whole = 0;
    for (Map.Entry<TaskRun, RunState> entry : active.entrySet()) {
      whole += work.serves(entry.getKey()) ? 0 : entry.getValue().throttlePercent / 100.0;
    }
    return whole;
  }

  private void extendLease(long untilThere, long nowMillis) {
    long until = Math.min(untilThere - clockAhead, nowMillis + LONGEST_LEASE_MILLIS);
    leaseUntil = Math.max(leaseUntil, until);
  }

  private OrderOutcome start(ExecutorOrder.Start start, long nowMillis) {
    extendLease(start.leaseUntilMillis(), nowMillis);
    TaskRun run = start.run();
    if (active.containsKey(run)) {
      return new OrderOutcome.Done(nowMillis + clockAhead);
    }
    if (run.number() <= highestClosedRuns.getOrDefault(run.task(), 0)) {
      return new OrderOutcome.Rejected(Rejection.SUPERSEDED);
    }
    if (start.leaseUntilMillis() - clockAhead <= nowMillis) {
      return new OrderOutcome.Rejected(Rejection.EXPIRED);
    }
    if (!work.advice.valid(run.task(), profile.id(), start.ticket(), nowMillis)) {
      return new OrderOutcome.Rejected(Rejection.NO_TICKET);
    }
    boolean fits = free().contains(work.demand(run.task()));
    if (!fits && checksCapacity) {
      return new OrderOutcome.Rejected(Rejection.NO_ROOM);
    }
    assertTrue(fits, () -> run + " brings " + profile.id() + " over its capacity");
    active.put(run, new RunState(start.checkpoint(), nowMillis));
    work.recordStart(run, profile.id(), nowMillis);
    if (work.crashingTasks.crashesAtStart(run)) {
      crash(nowMillis);
      return new OrderOutcome.Unanswered("closed");
    }
    return new OrderOutcome.Done(nowMillis + clockAhead);
  }

  /** Returns the capacity that no run occupies. */
  ResourceVector free() {
    ResourceVector free = checksCapacity ? profile.capacity() : usableCapacity;
    for (TaskRun run : active.keySet()) {
      free = free.minus(work.demand(run.task()));
    }
    return free;
  }

  private OrderOutcome stop(TaskRun run, long nowMillis) {
    if (ignoredStops > 0) {
      ignoredStops--;
      return new OrderOutcome.Done(nowMillis + clockAhead);
    }
    highestClosedRuns.merge(run.task(), run.number(), Math::max);
    Optional.ofNullable(active.get(run))
        .ifPresent(state -> state.stopAt = Math.min(state.stopAt, nowMillis + work.stopMillis()));
    return new OrderOutcome.Done(nowMillis + clockAhead);
  }

  /** Ends a run; does nothing if the run is not active here. */
  void end(TaskRun run, RunEnd how, long nowMillis) {
    RunState state = active.remove(run);
    if (state == null) {
      return;
    }
    highestClosedRuns.merge(run.task(), run.number(), Math::max);
    boolean kept = how == RunEnd.DONE || how == RunEnd.FAILED;
    long unsaved =
        work.checkpoints(run.task()) ? state.workedMillis % CHECKPOINT_MILLIS : state.workedMillis;
    work.waste.add(work.demand(run.task()), state.waitedMillis + (kept ? 0 : unsaved));
    lastEnd++;
    ended.add(new OrderOutcome.EndedRun(lastEnd, run, how, checkpoint(run, state)));
    work.recordEnd(run, profile.id(), lastEnd, how, nowMillis);
  }

  private String checkpoint(TaskRun run, RunState state) {
    if (!work.checkpoints(run.task())) {
      return "";
    }
    long saved =
        saved(state.startCheckpoint) + state.workedMillis / CHECKPOINT_MILLIS * CHECKPOINT_MILLIS;
    return saved == 0 ? "" : String.valueOf(saved);
  }

  private static long saved(String checkpoint) {
    return checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint);
  }

  /** Advances the runs by some time. */
  void advance(long nowMillis, long millis) {
    if (nowMillis > leaseUntil) {
      // By the published protocol an end no longer counts after the lease has expired, even if the
      // executor still reports it.
      work.forgetEnds(profile.id());
    }
    for (TaskRun run : running()) {
      RunState state = active.get(run);
      if (state == null) {
        continue;
      }
      if (work.crashingTasks.crashesNow(run, nowMillis - state.startedAt)) {
        crash(nowMillis);
        return;
      }
      if (nowMillis > leaseUntil) {
        end(run, RunEnd.LEASE_EXPIRED, nowMillis);
      } else if (nowMillis >= state.stopAt) {
        end(run, RunEnd.STOPPED, nowMillis);
      } else if (work.gangComplete(run)) {
        work(run, state, millis);
        if (work.ends(run)
            && saved(state.startCheckpoint) + state.workedMillis >= work.duration(run)) {
          work.finish(run, nowMillis);
        }
      } else if (nowMillis - state.startedAt > work.gangTimeoutMillis()) {
        end(run, RunEnd.GANG_INCOMPLETE, nowMillis);
      } else {
        state.waitedMillis += millis;
      }
    }
  }

  private void work(TaskRun run, RunState state, long millis) {
    if (state.restoringMillis > 0) {
      state.restoringMillis -= millis;
      return;
    }
    state.exactWorkedMillis += millis * work.speed(run) * state.throttlePercent / 100.0;
    state.workedMillis = (long) state.exactWorkedMillis;
  }
}
