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

/** Brings an attempt from its plan, read back, to its commit, or ends it as never started. */
final class GangCommitter {
  private final ControlPreferences preferences;
  private final RecordWriter writer;
  private final LeaseReleaser releaser;

  GangCommitter(ControlPreferences preferences, RecordWriter writer, LeaseReleaser releaser) {
    this.preferences = preferences;
    this.writer = writer;
    this.releaser = releaser;
  }

  /** Takes the next step of an attempt that is planned and not committed. */
  void advance(AttemptProgress track, JobState job, long epoch, DecisionContext turn) {
    if (writer.isUnread(track.unread)) {
      keepLeases(track, turn);
      return;
    }
    if (!writer.hasRoom(turn)) {
      return;
    }
    Optional<StopReason> reason = reasonToAbort(track, job, epoch, turn);
    if (reason.isPresent()) {
      abort(track, reason.get(), epoch, turn);
      return;
    }
    if (track.all(member -> member.granted())) {
      commit(track, epoch, turn);
      return;
    }
    ask(track, job, turn);
  }

  private Optional<StopReason> reasonToAbort(
      AttemptProgress track, JobState job, long epoch, DecisionContext turn) {
    if (job.plannedEpoch() != epoch) {
      return Optional.of(StopReason.STOP_REASON_OWNER_CHANGED);
    }
    if (job.facts().getCancelRequested()) {
      return Optional.of(StopReason.STOP_REASON_CANCELLED);
    }
    if (track.abort.isPresent()) {
      return track.abort;
    }
    boolean refused = track.first(member -> member.refused).isPresent();
    if (refused || turn.passed(track.sinceNanos, preferences.grantTimeout())) {
      return Optional.of(StopReason.STOP_REASON_START_REFUSED);
    }
    return Optional.empty();
  }

  /**
   * Asks each worker for a lease, once: a lease whose grant was lost holds its place until it
   * lapses, so asking again would be refused. Implements {@code Ask}.
   */
  private void ask(AttemptProgress track, JobState job, DecisionContext turn) {
    Capacity unit = job.job().shape().perMember();
    for (MemberProgress member : track.members) {
      if (member.asked) {
        continue;
      }
      member.asked = true;
      turn.send(
          member.worker,
          new WorkerCommand.Grant(
              track.attempt + "/" + member.number,
              unit.accelerators(),
              unit.cores(),
              unit.memoryMegabytes(),
              grantTtl().toMillis()));
    }
  }

  /** While a slow log holds the commit up, the leases that it names must not lapse. */
  private void keepLeases(AttemptProgress track, DecisionContext turn) {
    for (MemberProgress member : track.members) {
      if (member.granted() && turn.passed(member.renewedNanos, ControlLimits.COMMIT_KEEP)) {
        member.renewedNanos = turn.now();
        turn.send(
            member.worker, new WorkerCommand.Renew(List.of(member.lease), grantTtl().toMillis()));
      }
    }
  }

  private Duration grantTtl() {
    return preferences.grantTimeout().plus(ControlLimits.GRANT_TTL_MARGIN);
  }

  /** Implements {@code Commit}. */
  private void commit(AttemptProgress track, long epoch, DecisionContext turn) {
    AttemptCommitted.Builder body =
        AttemptCommitted.newBuilder()
            .setJob(track.attempt.job().value())
            .setAttempt(track.attempt.number());
    track.members.forEach(member -> body.addLeases(member.lease));
    track.unread = writer.append(ControlRecord.newBuilder().setAttemptCommitted(body), epoch, turn);
  }

  /**
   * Ends an attempt that cannot commit any more: its commit was not appended, or is known to be
   * absent. So its leases can be released at once. Implements {@code NeverStarted}.
   */
  private void abort(AttemptProgress track, StopReason reason, long epoch, DecisionContext turn) {
    AttemptEnded.Builder body =
        AttemptEnded.newBuilder()
            .setJob(track.attempt.job().value())
            .setAttempt(track.attempt.number())
            .setResult(AttemptResult.ATTEMPT_RESULT_NEVER_STARTED)
            .setReason(reason);
    if (reason == StopReason.STOP_REASON_START_REFUSED) {
      track
          .first(member -> member.refused)
          .or(() -> track.first(member -> !member.granted()))
          .ifPresent(member -> body.setWorker(member.worker.value()));
    }
    track.unread = writer.append(ControlRecord.newBuilder().setAttemptEnded(body), epoch, turn);
    for (MemberProgress member : track.members) {
      if (member.granted()) {
        releaser.release(member.worker, member.lease, turn);
      }
    }
  }
}
