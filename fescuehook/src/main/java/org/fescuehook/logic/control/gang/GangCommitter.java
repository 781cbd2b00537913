package org.fescuehook.logic.control.gang;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.wire.AttemptCommitted;
import org.fescuehook.wire.AttemptEnded;
import org.fescuehook.wire.AttemptResult;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.StopReason;

/** Requests the leases of a planned attempt and commits it, or ends it as never started. */
final class GangCommitter {
  private final ControlPreferences preferences;
  private final RecordWriter writer;
  private final LeaseReleaser releaser;

  GangCommitter(ControlPreferences preferences, RecordWriter writer, LeaseReleaser releaser) {
    this.preferences = preferences;
    this.writer = writer;
    this.releaser = releaser;
  }

  /** Takes the next step of an attempt that is planned and not yet committed. */
  void advance(AttemptProgress progress, JobState job, long epoch, DecisionContext context) {
    if (writer.isPending(progress.pendingSequence)) {
      renewUncommittedLeases(progress, context);
      return;
    }
    if (!writer.hasCapacity(context)) {
      return;
    }
    Optional<StopReason> reason = reasonToAbort(progress, job, epoch, context);
    if (reason.isPresent()) {
      abort(progress, reason.get(), epoch, context);
      return;
    }
    if (progress.all(member -> member.granted())) {
      commit(progress, epoch, context);
      return;
    }
    requestLeases(progress, job, context);
  }

  private Optional<StopReason> reasonToAbort(
      AttemptProgress progress, JobState job, long epoch, DecisionContext context) {
    if (job.plannedEpoch() != epoch) {
      return Optional.of(StopReason.STOP_REASON_OWNER_CHANGED);
    }
    if (job.snapshot().getCancelRequested()) {
      return Optional.of(StopReason.STOP_REASON_CANCELLED);
    }
    if (progress.abortReason.isPresent()) {
      return progress.abortReason;
    }
    boolean refused = progress.first(member -> member.refused).isPresent();
    if (refused || context.hasElapsed(progress.createdNanos, preferences.grantTimeout())) {
      return Optional.of(StopReason.STOP_REASON_START_REFUSED);
    }
    return Optional.empty();
  }

  /**
   * Requests a lease from each worker, once. If the reply to a grant is lost, the lease occupies
   * its capacity until it expires, so a second request would be refused. Implements the action
   * {@code Ask} of the module Gang.
   */
  private void requestLeases(AttemptProgress progress, JobState job, DecisionContext context) {
    Capacity unit = job.job().shape().perMember();
    for (MemberProgress member : progress.members) {
      if (member.leaseRequested) {
        continue;
      }
      member.leaseRequested = true;
      context.send(
          member.worker,
          new WorkerCommand.Grant(
              progress.attempt + "/" + member.number,
              unit.accelerators(),
              unit.cores(),
              unit.memoryMegabytes(),
              grantTtl().toMillis()));
    }
  }

  /**
   * Renews the leases named by a pending commit, so that they do not expire while a slow log delays
   * the commit.
   */
  private void renewUncommittedLeases(AttemptProgress progress, DecisionContext context) {
    for (MemberProgress member : progress.members) {
      if (member.granted()
          && context.hasElapsed(
              member.lastRenewalNanos, ControlLimits.UNCOMMITTED_RENEWAL_INTERVAL)) {
        member.lastRenewalNanos = context.nowNanos();
        context.send(
            member.worker, new WorkerCommand.Renew(List.of(member.lease), grantTtl().toMillis()));
      }
    }
  }

  private Duration grantTtl() {
    return preferences.grantTimeout().plus(ControlLimits.GRANT_TTL_MARGIN);
  }

  /** Appends the commit of the attempt. Implements the action {@code Commit} of the module Gang. */
  private void commit(AttemptProgress progress, long epoch, DecisionContext context) {
    AttemptCommitted.Builder body =
        AttemptCommitted.newBuilder()
            .setJob(progress.attempt.job().value())
            .setAttempt(progress.attempt.number());
    progress.members.forEach(member -> body.addLeases(member.lease));
    progress.pendingSequence =
        writer.append(ControlRecord.newBuilder().setAttemptCommitted(body), epoch, context);
  }

  /**
   * Ends an attempt that can no longer commit because its commit was not appended or is known to be
   * absent from the log. Its leases can therefore be released at once. Implements the action {@code
   * NeverStarted} of the module Gang.
   */
  private void abort(
      AttemptProgress progress, StopReason reason, long epoch, DecisionContext context) {
    AttemptEnded.Builder body =
        AttemptEnded.newBuilder()
            .setJob(progress.attempt.job().value())
            .setAttempt(progress.attempt.number())
            .setResult(AttemptResult.ATTEMPT_RESULT_NEVER_STARTED)
            .setReason(reason);
    if (reason == StopReason.STOP_REASON_START_REFUSED) {
      progress
          .first(member -> member.refused)
          .or(() -> progress.first(member -> !member.granted()))
          .ifPresent(member -> body.setWorker(member.worker.value()));
    }
    progress.pendingSequence =
        writer.append(ControlRecord.newBuilder().setAttemptEnded(body), epoch, context);
    for (MemberProgress member : progress.members) {
      if (member.granted()) {
        releaser.release(member.worker, member.lease, context);
      }
    }
  }
}
