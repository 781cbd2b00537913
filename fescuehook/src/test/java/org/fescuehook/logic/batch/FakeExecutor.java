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

/** An executor by its published rules: epochs, leases, ends until acknowledged. */
final class FakeExecutor {

  private static final long LONGEST_LEASE_MILLIS = 6000;
  private static final long CHECKPOINT_MILLIS = 500;
  private static final long RESTORE_MILLIS = 250;

  /** How long a capacity that has shrunk may still be used; the list tells it late. */
  private static final long SHRINK_MILLIS = 4500;

  private final VirtualWork work;
  private final Map<TaskRun, Active> active = new LinkedHashMap<>();
  private final Map<TaskName, Integer> closed = new HashMap<>();
  private final List<OrderOutcome.EndedRun> ended = new ArrayList<>();
  private final long clockAhead;
  private ExecutorProfile profile;
  private ResourceVector usable;
  private boolean guards = true;
  private long epoch;
  private long leaseUntil;
  private long lastEnd;
  private boolean up = true;
  private int ignoredStops;

  /** A run that holds room. */
  private static final class Active {
    private final String from;
    private final long startedAt;
    private long workedMillis;
    private double partMillis;
    private long waitedMillis;
    private long stopAt = Long.MAX_VALUE;
    private long restoringMillis;
    private int pacePercent = 100;

    Active(String from, long startedAt) {
      this.from = from;
      this.startedAt = startedAt;
      this.restoringMillis = from.isEmpty() ? 0 : RESTORE_MILLIS;
    }
  }

  FakeExecutor(ExecutorProfile profile, long clockAhead, VirtualWork work) {
    this.profile = profile;
    this.usable = profile.capacity();
    this.clockAhead = clockAhead;
    this.work = work;
  }

  ExecutorProfile profile() {
    return profile;
  }

  void describe(ExecutorProfile newer) {
    profile = newer;
  }

  /** Has it start whatever it is told to, also what does not fit. */
  void startAnything() {
    guards = false;
  }

  /** Describes its capacity anew. */
  void resize(ResourceVector capacity, BatchCluster cluster) {
    profile = Declared.withCapacity(profile, capacity);
    if (capacity.contains(usable)) {
      usable = capacity;
    } else {
      cluster.in(SHRINK_MILLIS, () -> usable = profile.capacity());
    }
    cluster.list(profile.id());
  }

  /** Has it confirm its next stops and let their runs go on. */
  void ignoreStops(int count) {
    ignoredStops = count;
  }

  boolean up() {
    return up;
  }

  /** Returns how many ends it still lists. */
  int unacknowledged() {
    return ended.size();
  }

  List<TaskRun> running() {
    return List.copyOf(active.keySet());
  }

  /** Loses all runs at once, without a word. */
  void crash(long nowMillis) {
    up = false;
    for (TaskRun run : running()) {
      active.remove(run);
      work.crashes.crashed(run);
      work.gone(run, nowMillis);
    }
  }

  OrderOutcome take(long orderEpoch, ExecutorOrder order, long nowMillis) {
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
    work.acknowledged(profile.id(), poll.acknowledged());
    poll.leaseUntilMillis().ifPresent(until -> lease(until, nowMillis));
    List<OrderOutcome.ActiveRun> runs = new ArrayList<>();
    active.forEach(
        (run, state) ->
            runs.add(
                new OrderOutcome.ActiveRun(
                    run,
                    checkpoint(run, state),
                    work.percent(run, state.workedMillis),
                    work.load(run, pacedWork()))));
    return new OrderOutcome.Polled(
        profile.incarnation().bornMillis(), nowMillis + clockAhead, runs, List.copyOf(ended));
  }

  private OrderOutcome pace(ExecutorOrder.Pace pace, long nowMillis) {
    Optional.ofNullable(active.get(pace.run()))
        .ifPresent(state -> state.pacePercent = pace.percent());
    return new OrderOutcome.Done(nowMillis + clockAhead);
  }

  /** Returns how much the tasks that serve nobody work here, in whole tasks. */
  private double pacedWork() {
    double whole = 0;
    for (Map.Entry<TaskRun, Active> entry : active.entrySet()) {
      whole += work.serves(entry.getKey()) ? 0 : entry.getValue().pacePercent / 100.0;
    }
    return whole;
  }

  private void lease(long untilThere, long nowMillis) {
    long until = Math.min(untilThere - clockAhead, nowMillis + LONGEST_LEASE_MILLIS);
    leaseUntil = Math.max(leaseUntil, until);
  }

  private OrderOutcome start(ExecutorOrder.Start start, long nowMillis) {
    lease(start.leaseUntilMillis(), nowMillis);
    TaskRun run = start.run();
    if (active.containsKey(run)) {
      return new OrderOutcome.Done(nowMillis + clockAhead);
    }
    if (run.number() <= closed.getOrDefault(run.task(), 0)) {
      return new OrderOutcome.Rejected(Rejection.SUPERSEDED);
    }
    if (start.leaseUntilMillis() - clockAhead <= nowMillis) {
      return new OrderOutcome.Rejected(Rejection.EXPIRED);
    }
    if (!work.advice.valid(run.task(), profile.id(), start.ticket(), nowMillis)) {
      return new OrderOutcome.Rejected(Rejection.NO_TICKET);
    }
    boolean fits = free().contains(work.demand(run.task()));
    if (!fits && guards) {
      return new OrderOutcome.Rejected(Rejection.NO_ROOM);
    }
    assertTrue(fits, () -> run + " brings " + profile.id() + " over its capacity");
    active.put(run, new Active(start.checkpoint(), nowMillis));
    work.started(run, profile.id(), nowMillis);
    if (work.crashes.atStart(run)) {
      crash(nowMillis);
      return new OrderOutcome.Unanswered("closed");
    }
    return new OrderOutcome.Done(nowMillis + clockAhead);
  }

  private ResourceVector free() {
    ResourceVector free = guards ? profile.capacity() : usable;
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
    closed.merge(run.task(), run.number(), Math::max);
    Optional.ofNullable(active.get(run))
        .ifPresent(state -> state.stopAt = Math.min(state.stopAt, nowMillis + work.stopMillis()));
    return new OrderOutcome.Done(nowMillis + clockAhead);
  }

  /** Ends a run; nothing happens if it is not here. */
  void end(TaskRun run, RunEnd how, long nowMillis) {
    Active state = active.remove(run);
    if (state == null) {
      return;
    }
    closed.merge(run.task(), run.number(), Math::max);
    boolean kept = how == RunEnd.DONE || how == RunEnd.FAILED;
    long unsaved =
        work.checkpoints(run.task()) ? state.workedMillis % CHECKPOINT_MILLIS : state.workedMillis;
    work.wasted(run, state.waitedMillis + (kept ? 0 : unsaved));
    lastEnd++;
    ended.add(new OrderOutcome.EndedRun(lastEnd, run, how, checkpoint(run, state)));
    work.ended(run, profile.id(), lastEnd, how, nowMillis);
  }

  private String checkpoint(TaskRun run, Active state) {
    if (!work.checkpoints(run.task())) {
      return "";
    }
    long saved = saved(state.from) + state.workedMillis / CHECKPOINT_MILLIS * CHECKPOINT_MILLIS;
    return saved == 0 ? "" : String.valueOf(saved);
  }

  private static long saved(String checkpoint) {
    return checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint);
  }

  /** Lets runs work for a while. */
  void pass(long nowMillis, long millis) {
    if (nowMillis > leaseUntil) {
      // By the published rules such an end does not count any more, also if it is listed later.
      work.forget(profile.id());
    }
    for (TaskRun run : running()) {
      Active state = active.get(run);
      if (state == null) {
        continue;
      }
      if (work.crashes.due(run, nowMillis - state.startedAt)) {
        crash(nowMillis);
        return;
      }
      if (nowMillis > leaseUntil) {
        end(run, RunEnd.LEASE_EXPIRED, nowMillis);
      } else if (nowMillis >= state.stopAt) {
        end(run, RunEnd.STOPPED, nowMillis);
      } else if (work.together(run)) {
        work(run, state, millis);
        if (work.ends(run) && saved(state.from) + state.workedMillis >= work.duration(run)) {
          work.finish(run, nowMillis);
        }
      } else if (nowMillis - state.startedAt > work.gangPatienceMillis()) {
        end(run, RunEnd.GANG_INCOMPLETE, nowMillis);
      } else {
        state.waitedMillis += millis;
      }
    }
  }

  private void work(TaskRun run, Active state, long millis) {
    if (state.restoringMillis > 0) {
      state.restoringMillis -= millis;
      return;
    }
    state.partMillis += millis * work.speed(run) * state.pacePercent / 100.0;
    state.workedMillis = (long) state.partMillis;
  }
}
