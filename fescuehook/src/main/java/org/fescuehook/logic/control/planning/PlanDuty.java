package org.fescuehook.logic.control.planning;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.Turn;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.gang.GangDuty;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.logic.scheduling.FaultyWorkerDetector;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.wire.AttemptPlanned;
import org.fescuehook.wire.AttemptStopping;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.StopReason;
import org.fescuehook.wire.WorkerJudged;

/**
 * Asks the scheduling policy what to do and appends it. While a decision of the last plan is unread
 * no new plan is made, so that the books of a plan always hold the plans before it.
 */
public final class PlanDuty {
  private final Scheduler scheduler;
  private final FaultyWorkerDetector judge;
  private final RecordWriter writer;
  private final GangDuty gangs;
  private final Set<Long> unread = new HashSet<>();
  private long lastPlanNanos = Long.MIN_VALUE / 2;
  private boolean changed = true;

  /** Creates a duty that has planned nothing. */
  public PlanDuty(
      Scheduler scheduler, FaultyWorkerDetector judge, RecordWriter writer, GangDuty gangs) {
    this.scheduler = scheduler;
    this.judge = judge;
    this.writer = writer;
    this.gangs = gangs;
  }

  /** The state changed in a way that may allow new decisions. */
  public void stateChanged() {
    changed = true;
  }

  /** Plans if that is due. */
  public void step(
      ControlState state, Declarations declarations, Set<WorkerId> unavailable, Turn turn) {
    unread.removeIf(sequence -> !writer.isUnread(sequence));
    if (!unread.isEmpty() || !due(state, turn)) {
      return;
    }
    lastPlanNanos = turn.now();
    changed = false;
    Scheduler.View view = ViewBuilder.build(state, declarations, unavailable, turn.wallMillis());
    try {
      decide(scheduler.plan(view), state, turn);
      judge.judge(view).forEach(judgement -> quarantine(judgement, state, turn));
    } catch (RuntimeException e) {
      // A fault of the policy must not keep the leases of running gangs from being renewed.
      turn.note(ControlLogEvent.PLAN_FAILED, e.toString());
      turn.count("fescuehook.control.plans.failed");
    }
  }

  private void decide(Scheduler.Plan plan, ControlState state, Turn turn) {
    for (Scheduler.Stop stop : plan.stops()) {
      stop(stop, state, turn);
    }
    for (Scheduler.Start start : plan.starts()) {
      start(start, state, turn);
    }
  }

  private boolean due(ControlState state, Turn turn) {
    if (changed) {
      return turn.passed(lastPlanNanos, ControlLimits.FASTEST_PLAN);
    }
    boolean waiting = state.jobs().waitingCount() > 0;
    Duration interval = waiting ? ControlLimits.SLOWEST_PLAN : ControlLimits.IDLE_PLAN;
    return turn.passed(lastPlanNanos, interval);
  }

  private void append(ControlRecord.Builder record, ControlState state, Turn turn) {
    if (writer.hasRoom(turn)) {
      unread.add(writer.append(record, state.epoch(), turn));
    }
  }

  /** Implements {@code Plan}. */
  private void start(Scheduler.Start start, ControlState state, Turn turn) {
    Optional<JobState> job = state.jobs().find(start.job()).filter(JobState::waiting);
    if (job.isEmpty()) {
      return;
    }
    AttemptPlanned.Builder planned =
        AttemptPlanned.newBuilder()
            .setJob(start.job().value())
            .setAttempt(job.get().attempt().number() + 1)
            .setRule(start.rule())
            .setBorrowed(start.borrowed());
    start.placement().members().forEach(worker -> planned.addWorkers(worker.value()));
    append(ControlRecord.newBuilder().setAttemptPlanned(planned), state, turn);
  }

  private void stop(Scheduler.Stop stop, ControlState state, Turn turn) {
    Optional<JobState> job =
        state
            .jobs()
            .find(stop.attempt().job())
            .filter(found -> found.live() && found.attempt().equals(stop.attempt()))
            .filter(found -> !found.stopping());
    if (job.isEmpty()) {
      return;
    }
    StopReason reason = reason(stop.cause());
    if (!job.get().committed()) {
      gangs.abort(stop.attempt(), reason);
      return;
    }
    AttemptStopping.Builder stopping =
        AttemptStopping.newBuilder()
            .setJob(stop.attempt().job().value())
            .setAttempt(stop.attempt().number())
            .setReason(reason)
            .setCheckpointFirst(stop.checkpointFirst())
            .setNoticeMillis(stop.noticeMillis());
    append(ControlRecord.newBuilder().setAttemptStopping(stopping), state, turn);
  }

  private static StopReason reason(Scheduler.StopCause cause) {
    return switch (cause) {
      case RECLAIMED -> StopReason.STOP_REASON_RECLAIMED;
      case URGENT -> StopReason.STOP_REASON_URGENT;
      case MOVED -> StopReason.STOP_REASON_MOVED;
    };
  }

  private void quarantine(
      FaultyWorkerDetector.Quarantine judgement, ControlState state, Turn turn) {
    turn.note(
        ControlLogEvent.WORKER_QUARANTINED,
        judgement.worker(),
        judgement.untilMillis(),
        judgement.evidence());
    WorkerJudged judged =
        WorkerJudged.newBuilder()
            .setWorker(judgement.worker().value())
            .setQuarantined(true)
            .setUntilMillis(judgement.untilMillis())
            .setEvidence(judgement.evidence())
            .build();
    append(ControlRecord.newBuilder().setWorkerJudged(judged), state, turn);
  }
}
