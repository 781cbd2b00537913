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

/**
 * Starts the members of a committed gang, and monitors them until the gang ends or has to be
 * stopped.
 */
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
    if (mode == GangMode.DECIDE && job.snapshot().getCancelRequested()) {
      return Optional.of(new StopTrigger(StopReason.STOP_REASON_CANCELLED, Optional.empty()));
    }
    Optional<MemberProgress> notStarted = progress.first(member -> !member.started());
    if (notStarted.isPresent() && startTimedOut(progress, context)) {
      return Optional.of(new StopTrigger(StopReason.STOP_REASON_START_REFUSED, notStarted));
    }
    return Optional.empty();
  }

  /**
   * Returns whether a member's lease expired or the member ended early by a checkpoint, or whether
   * the worker has not answered for the time to live of a lease. In the latter case the lease has
   * expired unless another VM renews it.
   */
  private boolean lostOrSilent(MemberProgress member, DecisionContext context) {
    if (member.lost() || member.checkpointed) {
      return true;
    }
    return !member.finished && context.hasElapsed(member.lastReplyNanos, preferences.leaseTtl());
  }

  private static boolean startTimedOut(AttemptProgress progress, DecisionContext context) {
    boolean someStarted = progress.first(MemberProgress::started).isPresent();
    if (progress.startingSinceNanos.isEmpty() && someStarted) {
      progress.startingSinceNanos = OptionalLong.of(context.nowNanos());
    }
    return progress.startingSinceNanos.isPresent()
        && context.hasElapsed(progress.startingSinceNanos.getAsLong(), ControlLimits.START_TIMEOUT);
  }

  /**
   * Sends a start for each lease that is not known to run. This is only done for a commit that was
   * read back and took effect, and a start is idempotent, so it is repeated until it is answered.
   * Implements the action {@code Start} of the module Gang.
   */
  private void start(
      AttemptProgress progress, JobState job, GangMode mode, DecisionContext context) {
    if (mode != GangMode.DECIDE) {
      return;
    }
    if (progress.startingSinceNanos.isEmpty()) {
      progress.startingSinceNanos = OptionalLong.of(context.nowNanos());
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

  /**
   * Releases the remaining leases of a gang that lost one. A worker never restores a lease that it
   * reported as gone, so the gang cannot become complete again on any VM.
   */
  private void releaseOthers(AttemptProgress progress, DecisionContext context) {
    progress.releasing = true;
    for (MemberProgress member : progress.members) {
      if (!member.gone) {
        releaser.release(member.worker, member.lease, context);
      }
    }
  }

  /** Stops renewing an incomplete gang while the log is unreachable, so that its leases expire. */
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

  /**
   * Appends the decision to stop the attempt. Implements the action {@code Stop} of the module
   * Gang.
   */
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

  /**
   * Appends that the attempt finished. Its leases are released only after this record was read
   * back, because the result could be lost otherwise.
   */
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
