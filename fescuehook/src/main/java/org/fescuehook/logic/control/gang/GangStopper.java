package org.fescuehook.logic.control.gang;

import java.time.Duration;
import java.util.OptionalLong;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.ownership.PeerTracker;
import org.fescuehook.logic.control.record.WireEnumNames;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.wire.AttemptEnded;
import org.fescuehook.wire.AttemptResult;
import org.fescuehook.wire.AttemptStopping;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.StopReason;

/** Stops a gang whose stop record was read back, and ends its attempt once every lease is gone. */
final class GangStopper {

  /** Divisor of the lease's time to live that gives the margin for clock drift: one tenth. */
  private static final int DRIFT_DIVISOR = 10;

  private final ControlPreferences preferences;
  private final RecordWriter writer;
  private final LeaseReleaser releaser;
  private final PeerTracker peers;

  GangStopper(
      ControlPreferences preferences,
      RecordWriter writer,
      LeaseReleaser releaser,
      PeerTracker peers) {
    this.preferences = preferences;
    this.writer = writer;
    this.releaser = releaser;
    this.peers = peers;
  }

  /**
   * Takes the next step of an attempt that is being stopped.
   *
   * @param nextOffset offset after the last record that this VM has applied
   */
  void advance(
      AttemptProgress progress,
      JobState job,
      GangMode mode,
      long epoch,
      long nextOffset,
      DecisionContext context) {
    AttemptStopping stopping = job.snapshot().getStopping();
    if (progress.stoppingSinceNanos.isEmpty()) {
      progress.stoppingSinceNanos = OptionalLong.of(context.nowNanos());
      progress.stoppingOffset = nextOffset - 1;
      progress.awaitsCheckpoint = stopping.getCheckpointFirst() && mode == GangMode.DECIDE;
      context.note(
          ControlLogEvent.ATTEMPT_STOPPING,
          progress.attempt,
          WireEnumNames.of(stopping.getReason()),
          stopping.getWorker());
    }
    if (stillAwaitsCheckpoint(progress, stopping, context)) {
      requestCheckpoints(progress, context);
      return;
    }
    release(progress, stopping, context);
    boolean allGone = progress.all(member -> member.gone);
    if (allGone
        && mode == GangMode.DECIDE
        && !writer.isPending(progress.pendingSequence)
        && writer.hasCapacity(context)) {
      end(progress, stopping, epoch, context);
    }
  }

  /**
   * Returns whether the attempt still has time to write its checkpoint. Only the owner waits, for
   * the notice period from the time at which it read the stop; renewals end with that period.
   */
  private static boolean stillAwaitsCheckpoint(
      AttemptProgress progress, AttemptStopping stopping, DecisionContext context) {
    if (!progress.awaitsCheckpoint || progress.releasing) {
      return false;
    }
    boolean broken = progress.first(member -> member.gone || member.failed).isPresent();
    boolean done = progress.all(member -> member.checkpointed || member.finished);
    Duration notice = Duration.ofMillis(stopping.getNoticeMillis());
    return !broken && !done && !context.hasElapsed(progress.stoppingSinceNanos.getAsLong(), notice);
  }

  private static void requestCheckpoints(AttemptProgress progress, DecisionContext context) {
    for (MemberProgress member : progress.members) {
      boolean done = member.checkpointed || member.finished;
      if (done
          || !context.hasElapsed(
              member.lastCommandNanos, ControlLimits.COMMAND_RETRY_INTERVAL.multipliedBy(4))) {
        continue;
      }
      member.lastCommandNanos = context.nowNanos();
      context.send(member.worker, new WorkerCommand.Checkpoint(member.lease));
    }
  }

  /**
   * Releases the leases of an attempt that is being stopped. Implements the action {@code Release}
   * of the module Gang, after a stop that took effect.
   */
  private void release(
      AttemptProgress progress, AttemptStopping stopping, DecisionContext context) {
    progress.releasing = true;
    if (progress.appliedByAllSinceNanos.isEmpty()
        && peers.allApplied(progress.stoppingOffset, ControlLimits.OUTAGE_RENEWAL_LIMIT, context)) {
      progress.appliedByAllSinceNanos = OptionalLong.of(context.nowNanos());
    }
    for (MemberProgress member : progress.members) {
      if (member.gone) {
        continue;
      }
      releaser.release(member.worker, member.lease, context);
      if (mustHaveExpired(progress, member, stopping, context)) {
        member.gone = true;
        context.note(ControlLogEvent.SILENT_LEASE_GONE, progress.attempt, member.worker);
        context.count("fescuehook.control.silent.leases");
      }
    }
  }

  /**
   * Returns whether the lease of a worker that does not answer must have expired. No VM renews a
   * lease after it has read the stop of the attempt, and none renews for longer than {@link
   * ControlLimits#OUTAGE_RENEWAL_LIMIT} after its last read of the log. The lease therefore expires
   * its time to live after the last VM has read the stop. If it is unknown whether all have, that
   * limit is added, and so is the time for which a lagging replica of the log may hide the stop
   * from a successful read. Implements the action {@code Free} of the module SilentWorker.
   */
  private boolean mustHaveExpired(
      AttemptProgress progress,
      MemberProgress member,
      AttemptStopping stopping,
      DecisionContext context) {
    Duration ttl = preferences.leaseTtl();
    Duration expiryTime =
        ttl.plus(ttl.dividedBy(DRIFT_DIVISOR))
            .plus(ControlLimits.WORKER_REQUEST_TIMEOUT)
            .plusMillis(stopping.getNoticeMillis());
    if (progress.appliedByAllSinceNanos.isPresent()) {
      return context.hasElapsed(
          Math.max(progress.appliedByAllSinceNanos.getAsLong(), member.lastRenewalNanos),
          expiryTime);
    }
    Duration renewalBound = ControlLimits.OUTAGE_RENEWAL_LIMIT.plus(ControlLimits.MAX_REPLICA_LAG);
    return context.hasElapsed(
        progress.stoppingSinceNanos.getAsLong(), expiryTime.plus(renewalBound));
  }

  /** Appends the end of the attempt. Implements the action {@code End} of the module Gang. */
  private void end(
      AttemptProgress progress, AttemptStopping stopping, long epoch, DecisionContext context) {
    AttemptEnded.Builder body =
        AttemptEnded.newBuilder()
            .setJob(progress.attempt.job().value())
            .setAttempt(progress.attempt.number())
            .setResult(result(progress, stopping))
            .setReason(stopping.getReason())
            .setWorker(stopping.getWorker())
            .setExitCode(stopping.getExitCode())
            .setCheckpointed(progress.all(member -> member.checkpointed || member.finished));
    progress.pendingSequence =
        writer.append(ControlRecord.newBuilder().setAttemptEnded(body), epoch, context);
  }

  private static AttemptResult result(AttemptProgress progress, AttemptStopping stopping) {
    if (progress.all(member -> member.finished)) {
      return AttemptResult.ATTEMPT_RESULT_FINISHED;
    }
    if (stopping.getReason() == StopReason.STOP_REASON_MEMBER_FAILED) {
      return AttemptResult.ATTEMPT_RESULT_FAILED;
    }
    return AttemptResult.ATTEMPT_RESULT_STOPPED;
  }
}
