package org.fescuehook.logic.control.gang;

import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.record.WireEnumNames;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.wire.AttemptEnded;
import org.fescuehook.wire.AttemptResult;
import org.fescuehook.wire.AttemptStopping;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.StopReason;

/** Starts a committed gang, and watches it until it ends or has to be stopped. */
final class GangRunner {
  private final ControlPreferences preferences;
  private final RecordWriter writer;
  private final LeaseReleaser releaser;

  GangRunner(ControlPreferences preferences, RecordWriter writer, LeaseReleaser releaser) {
    this.preferences = preferences;
    this.writer = writer;
    this.releaser = releaser;
  }

  private record StopTrigger(StopReason reason, Optional<MemberProgress> member) {}

  /** Takes the next step of an attempt that is committed and not being stopped. */
  void advance(
      AttemptProgress progress, JobState job, GangMode mode, long epoch, DecisionContext context) {
    if (progress.first(MemberProgress::lost).isPresent()) {
      releaseOthers(progress, context);
    }
    Optional<StopTrigger> trigger = trigger(progress, job, mode, context);
    if (trigger.isPresent() && mode == GangMode.RENEW) {
      abandon(progress, trigger.get(), context);
      return;
    }
    if (mode == GangMode.DECIDE
        && !writer.isPending(progress.pendingSequence)
        && writer.hasCapacity(context)) {
      if (progress.all(member -> member.finished)) {
        finish(progress, epoch, context);
        return;
      }
      if (trigger.isPresent()) {
        stop(progress, trigger.get(), epoch, context);
        return;
      }
    }
    if (trigger.isEmpty()) {
      start(progress, job, mode, context);
    }
  }

  private Optional<StopTrigger> trigger(
      AttemptProgress progress, JobState job, GangMode mode, DecisionContext context) {
    if (progress.all(member -> member.finished)) {
      return Optional.empty();
    }
    Optional<MemberProgress> failed = progress.first(member -> member.failed);
    if (failed.isPresent()) {
      return Optional.of(new StopTrigger(StopReason.STOP_REASON_MEMBER_FAILED, failed));
    }
    Optional<MemberProgress> lost = progress.first(member -> lostOrSilent(member, context));
    if (lost.isPresent()) {
      return Optional.of(new StopTrigger(StopReason.STOP_REASON_MEMBER_LOST, lost));
    }
    if (mode == GangMode.DECIDE && job.facts().getCancelRequested()) {
      return Optional.of(new StopTrigger(StopReason.STOP_REASON_CANCELLED, Optional.empty()));
    }
    Optional<MemberProgress> held = progress.first(member -> !member.started());
    if (held.isPresent() && startTimedOut(progress, context)) {
      return Optional.of(new StopTrigger(StopReason.STOP_REASON_START_REFUSED, held));
    }
    return Optional.empty();
  }

  /** A member whose lease lapsed, ended early, or must have lapsed unless another VM renews it. */
  private boolean lostOrSilent(MemberProgress member, DecisionContext context) {
    if (member.lost() || member.checkpointed) {
      return true;
    }
    return !member.finished && context.hasElapsed(member.lastReplyNanos, preferences.leaseTtl());
  }

  private static boolean startTimedOut(AttemptProgress progress, DecisionContext context) {
    boolean partly = progress.first(MemberProgress::started).isPresent();
    if (progress.startedSince.isEmpty() && partly) {
      progress.startedSince = OptionalLong.of(context.nowNanos());
    }
    return progress.startedSince.isPresent()
        && context.hasElapsed(progress.startedSince.getAsLong(), ControlLimits.START_TIMEOUT);
  }

  /**
   * Sends the start to each lease that is not known to run. Only for a commit that was read back
   * and counted, so it may be repeated. Implements {@code Start}.
   */
  private void start(
      AttemptProgress progress, JobState job, GangMode mode, DecisionContext context) {
    if (mode != GangMode.DECIDE) {
      return;
    }
    if (progress.startedSince.isEmpty()) {
      progress.startedSince = OptionalLong.of(context.nowNanos());
      context.note(ControlLogEvent.ATTEMPT_STARTED, progress.attempt, progress.members.size());
    }
    for (MemberProgress member : progress.members) {
      if (member.started()
          || !context.hasElapsed(member.lastCommandNanos, ControlLimits.COMMAND_RETRY_INTERVAL)) {
        continue;
      }
      member.lastCommandNanos = context.nowNanos();
      context.send(
          member.worker,
          new WorkerCommand.Start(
              member.lease,
              job.id().value(),
              progress.attempt.toString(),
              member.number,
              job.job().command()));
    }
  }

  /** A lease that is gone by its worker's word stays gone, so no VM can want the others to run. */
  private void releaseOthers(AttemptProgress progress, DecisionContext context) {
    progress.releasing = true;
    for (MemberProgress member : progress.members) {
      if (!member.gone) {
        releaser.release(member.worker, member.lease, context);
      }
    }
  }

  /** Without the log, a gang that is not whole is left to lapse. */
  private static void abandon(
      AttemptProgress progress, StopTrigger trigger, DecisionContext context) {
    if (progress.abandoned) {
      return;
    }
    progress.abandoned = true;
    String worker = trigger.member().map(member -> member.worker.value()).orElse("none");
    context.note(
        ControlLogEvent.GANG_ABANDONED,
        progress.attempt,
        worker,
        WireEnumNames.of(trigger.reason()));
  }

  /** Implements {@code Stop}. */
  private void stop(
      AttemptProgress progress, StopTrigger trigger, long epoch, DecisionContext context) {
    AttemptStopping.Builder body =
        AttemptStopping.newBuilder()
            .setJob(progress.attempt.job().value())
            .setAttempt(progress.attempt.number())
            .setReason(trigger.reason());
    trigger
        .member()
        .ifPresent(member -> body.setWorker(member.worker.value()).setExitCode(member.exitCode));
    progress.pendingSequence =
        writer.append(ControlRecord.newBuilder().setAttemptStopping(body), epoch, context);
  }

  /** The leases are released only once this record was read, else the result could be lost. */
  private void finish(AttemptProgress progress, long epoch, DecisionContext context) {
    AttemptEnded.Builder body =
        AttemptEnded.newBuilder()
            .setJob(progress.attempt.job().value())
            .setAttempt(progress.attempt.number())
            .setResult(AttemptResult.ATTEMPT_RESULT_FINISHED);
    progress.pendingSequence =
        writer.append(ControlRecord.newBuilder().setAttemptEnded(body), epoch, context);
  }
}
