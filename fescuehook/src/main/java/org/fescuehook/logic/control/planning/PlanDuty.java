package org.fescuehook.logic.control.planning;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;
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
 * Runs the scheduling policy and appends its decisions. No new plan is made while a decision of the
 * previous plan has not been read back, so that a plan always starts from a state that includes the
 * plans before it.
 */
public final class PlanDuty {
  private final Scheduler scheduler;
  private final FaultyWorkerDetector detector;
  private final RecordWriter writer;
  private final GangDuty gangs;
  private final Set<Long> pendingSequences = new HashSet<>();
  private long lastPlanNanos = Long.MIN_VALUE / 2;
  private boolean changed = true;

  /** Creates a duty that has made no plan. */
  public PlanDuty(
      Scheduler scheduler, FaultyWorkerDetector detector, RecordWriter writer, GangDuty gangs) {
    this.scheduler = scheduler;
    this.detector = detector;
    this.writer = writer;
    this.gangs = gangs;
  }

  /** Handles that the state changed in a way that may allow new decisions. */
  public void stateChanged() {
    changed = true;
  }

  /** Makes a plan if one is due. */
  public void step(
      ControlState state,
      Declarations declarations,
      Set<WorkerId> unavailable,
      DecisionContext context) {
    pendingSequences.removeIf(sequence -> !writer.isPending(sequence));
    if (!pendingSequences.isEmpty() || !due(state, context)) {
      return;
    }
    lastPlanNanos = context.nowNanos();
    changed = false;
    Scheduler.View view = ViewBuilder.build(state, declarations, unavailable, context.wallMillis());
    try {
      decide(scheduler.plan(view), state, context);
      detector.detect(view).forEach(quarantine -> quarantine(quarantine, state, context));
    } catch (RuntimeException e) {
      // A failure of the policy must not prevent the leases of running gangs from being renewed.
      context.note(ControlLogEvent.PLAN_FAILED, e.toString());
      context.count("fescuehook.control.plans.failed");
    }
  }

  private void decide(Scheduler.Plan plan, ControlState state, DecisionContext context) {
    for (Scheduler.Stop stop : plan.stops()) {
      stop(stop, state, context);
    }
    for (Scheduler.Start start : plan.starts()) {
      start(start, state, context);
    }
  }

  private boolean due(ControlState state, DecisionContext context) {
    if (changed) {
      return context.hasElapsed(lastPlanNanos, ControlLimits.MIN_PLAN_INTERVAL);
    }
    boolean waiting = state.jobs().waitingCount() > 0;
    Duration interval =
        waiting ? ControlLimits.MAX_PLAN_INTERVAL : ControlLimits.IDLE_PLAN_INTERVAL;
    return context.hasElapsed(lastPlanNanos, interval);
  }

  private void append(ControlRecord.Builder record, ControlState state, DecisionContext context) {
    if (writer.hasCapacity(context)) {
      pendingSequences.add(writer.append(record, state.epoch(), context));
    }
  }

  /** Appends the plan of an attempt. Implements the action {@code Plan} of the module Gang. */
  private void start(Scheduler.Start start, ControlState state, DecisionContext context) {
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
    append(ControlRecord.newBuilder().setAttemptPlanned(planned), state, context);
  }

  private void stop(Scheduler.Stop stop, ControlState state, DecisionContext context) {
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
    append(ControlRecord.newBuilder().setAttemptStopping(stopping), state, context);
  }

  private static StopReason reason(Scheduler.StopCause cause) {
    return switch (cause) {
      case RECLAIMED -> StopReason.STOP_REASON_RECLAIMED;
      case URGENT -> StopReason.STOP_REASON_URGENT;
      case MOVED -> StopReason.STOP_REASON_MOVED;
    };
  }

  private void quarantine(
      FaultyWorkerDetector.Quarantine quarantine, ControlState state, DecisionContext context) {
    context.note(
        ControlLogEvent.WORKER_QUARANTINED,
        quarantine.worker(),
        quarantine.untilMillis(),
        quarantine.evidence());
    WorkerJudged judged =
        WorkerJudged.newBuilder()
            .setWorker(quarantine.worker().value())
            .setQuarantined(true)
            .setUntilMillis(quarantine.untilMillis())
            .setEvidence(quarantine.evidence())
            .build();
    append(ControlRecord.newBuilder().setWorkerJudged(judged), state, context);
  }
}
