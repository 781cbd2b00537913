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

  private record Fault(StopReason reason, Optional<MemberProgress> member) {}

  /** Takes the next step of an attempt that is committed and not being stopped. */
  void advance(
      AttemptProgress track, JobState job, GangMode mode, long epoch, DecisionContext turn) {
    if (track.first(MemberProgress::lost).isPresent()) {
      releaseOthers(track, turn);
    }
    Optional<Fault> fault = fault(track, job, mode, turn);
    if (fault.isPresent() && mode == GangMode.RENEW) {
      abandon(track, fault.get(), turn);
      return;
    }
    if (mode == GangMode.DECIDE && !writer.isUnread(track.unread) && writer.hasRoom(turn)) {
      if (track.all(member -> member.finished)) {
        finish(track, epoch, turn);
        return;
      }
      if (fault.isPresent()) {
        stop(track, fault.get(), epoch, turn);
        return;
      }
    }
    if (fault.isEmpty()) {
      start(track, job, mode, turn);
    }
  }

  private Optional<Fault> fault(
      AttemptProgress track, JobState job, GangMode mode, DecisionContext turn) {
    if (track.all(member -> member.finished)) {
      return Optional.empty();
    }
    Optional<MemberProgress> failed = track.first(member -> member.failed);
    if (failed.isPresent()) {
      return Optional.of(new Fault(StopReason.STOP_REASON_MEMBER_FAILED, failed));
    }
    Optional<MemberProgress> lost = track.first(member -> lostOrSilent(member, turn));
    if (lost.isPresent()) {
      return Optional.of(new Fault(StopReason.STOP_REASON_MEMBER_LOST, lost));
    }
    if (mode == GangMode.DECIDE && job.facts().getCancelRequested()) {
      return Optional.of(new Fault(StopReason.STOP_REASON_CANCELLED, Optional.empty()));
    }
    Optional<MemberProgress> held = track.first(member -> !member.started());
    if (held.isPresent() && startIsLate(track, turn)) {
      return Optional.of(new Fault(StopReason.STOP_REASON_START_REFUSED, held));
    }
    return Optional.empty();
  }

  /** A member whose lease lapsed, ended early, or must have lapsed unless another VM renews it. */
  private boolean lostOrSilent(MemberProgress member, DecisionContext turn) {
    if (member.lost() || member.checkpointed) {
      return true;
    }
    return !member.finished && turn.passed(member.heardNanos, preferences.leaseTtl());
  }

  private static boolean startIsLate(AttemptProgress track, DecisionContext turn) {
    boolean partly = track.first(MemberProgress::started).isPresent();
    if (track.startedSince.isEmpty() && partly) {
      track.startedSince = OptionalLong.of(turn.now());
    }
    return track.startedSince.isPresent()
        && turn.passed(track.startedSince.getAsLong(), ControlLimits.START_TIMEOUT);
  }

  /**
   * Sends the start to each lease that is not known to run. Only for a commit that was read back
   * and counted, so it may be repeated. Implements {@code Start}.
   */
  private void start(AttemptProgress track, JobState job, GangMode mode, DecisionContext turn) {
    if (mode != GangMode.DECIDE) {
      return;
    }
    if (track.startedSince.isEmpty()) {
      track.startedSince = OptionalLong.of(turn.now());
      turn.note(ControlLogEvent.ATTEMPT_STARTED, track.attempt, track.members.size());
    }
    for (MemberProgress member : track.members) {
      if (member.started() || !turn.passed(member.commandedNanos, ControlLimits.COMMAND_RETRY)) {
        continue;
      }
      member.commandedNanos = turn.now();
      turn.send(
          member.worker,
          new WorkerCommand.Start(
              member.lease,
              job.id().value(),
              track.attempt.toString(),
              member.number,
              job.job().command()));
    }
  }

  /** A lease that is gone by its worker's word stays gone, so no VM can want the others to run. */
  private void releaseOthers(AttemptProgress track, DecisionContext turn) {
    track.releasing = true;
    for (MemberProgress member : track.members) {
      if (!member.gone) {
        releaser.release(member.worker, member.lease, turn);
      }
    }
  }

  /** Without the log, a gang that is not whole is left to lapse. */
  private static void abandon(AttemptProgress track, Fault fault, DecisionContext turn) {
    if (track.abandoned) {
      return;
    }
    track.abandoned = true;
    String worker = fault.member().map(member -> member.worker.value()).orElse("none");
    turn.note(
        ControlLogEvent.GANG_ABANDONED, track.attempt, worker, WireEnumNames.of(fault.reason()));
  }

  /** Implements {@code Stop}. */
  private void stop(AttemptProgress track, Fault fault, long epoch, DecisionContext turn) {
    AttemptStopping.Builder body =
        AttemptStopping.newBuilder()
            .setJob(track.attempt.job().value())
            .setAttempt(track.attempt.number())
            .setReason(fault.reason());
    fault
        .member()
        .ifPresent(member -> body.setWorker(member.worker.value()).setExitCode(member.exitCode));
    track.unread = writer.append(ControlRecord.newBuilder().setAttemptStopping(body), epoch, turn);
  }

  /** The leases are released only once this record was read, else the result could be lost. */
  private void finish(AttemptProgress track, long epoch, DecisionContext turn) {
    AttemptEnded.Builder body =
        AttemptEnded.newBuilder()
            .setJob(track.attempt.job().value())
            .setAttempt(track.attempt.number())
            .setResult(AttemptResult.ATTEMPT_RESULT_FINISHED);
    track.unread = writer.append(ControlRecord.newBuilder().setAttemptEnded(body), epoch, turn);
  }
}
