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

/** Stops a gang whose stop was read back, and ends its attempt once every lease is gone. */
final class GangStopper {

  /** Share of the lease time that is added for clocks of different speed. */
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
   * @param foldedUntil offset after the last record that this VM has folded
   */
  void advance(
      AttemptProgress track,
      JobState job,
      GangMode mode,
      long epoch,
      long foldedUntil,
      DecisionContext turn) {
    AttemptStopping stopping = job.facts().getStopping();
    if (track.stoppingSince.isEmpty()) {
      track.stoppingSince = OptionalLong.of(turn.now());
      track.stoppingOffset = foldedUntil - 1;
      track.awaitsCheckpoint = stopping.getCheckpointFirst() && mode == GangMode.DECIDE;
      turn.note(
          ControlLogEvent.ATTEMPT_STOPPING,
          track.attempt,
          WireEnumNames.of(stopping.getReason()),
          stopping.getWorker());
    }
    if (awaitsCheckpoint(track, stopping, turn)) {
      askForCheckpoint(track, turn);
      return;
    }
    release(track, stopping, turn);
    boolean allGone = track.all(member -> member.gone);
    if (allGone
        && mode == GangMode.DECIDE
        && !writer.isUnread(track.unread)
        && writer.hasRoom(turn)) {
      end(track, stopping, epoch, turn);
    }
  }

  /** Only an owner waits, and from when it read the stop, so renewals end with the notice. */
  private static boolean awaitsCheckpoint(
      AttemptProgress track, AttemptStopping stopping, DecisionContext turn) {
    if (!track.awaitsCheckpoint || track.releasing) {
      return false;
    }
    boolean broken = track.first(member -> member.gone || member.failed).isPresent();
    boolean done = track.all(member -> member.checkpointed || member.finished);
    Duration notice = Duration.ofMillis(stopping.getNoticeMillis());
    return !broken && !done && !turn.passed(track.stoppingSince.getAsLong(), notice);
  }

  private static void askForCheckpoint(AttemptProgress track, DecisionContext turn) {
    for (MemberProgress member : track.members) {
      boolean done = member.checkpointed || member.finished;
      if (done
          || !turn.passed(member.commandedNanos, ControlLimits.COMMAND_RETRY.multipliedBy(4))) {
        continue;
      }
      member.commandedNanos = turn.now();
      turn.send(member.worker, new WorkerCommand.Checkpoint(member.lease));
    }
  }

  /** Implements {@code Release} after a stop that counted. */
  private void release(AttemptProgress track, AttemptStopping stopping, DecisionContext turn) {
    track.releasing = true;
    if (track.foldedSince.isEmpty()
        && peers.allFolded(track.stoppingOffset, ControlLimits.OUTAGE_RIDE, turn)) {
      track.foldedSince = OptionalLong.of(turn.now());
    }
    for (MemberProgress member : track.members) {
      if (member.gone) {
        continue;
      }
      releaser.release(member.worker, member.lease, turn);
      if (cannotBeHeld(track, member, stopping, turn)) {
        member.gone = true;
        turn.note(ControlLogEvent.SILENT_LEASE_GONE, track.attempt, member.worker);
        turn.count("fescuehook.control.silent.leases");
      }
    }
  }

  /**
   * Tells whether the lease of a silent worker must have lapsed. No VM renews what it has read as
   * being stopped, and none goes on for longer than the outage ride without reading. So the lease
   * lapses its time after the last VM has read the stop, or after the outage ride and the time for
   * which a replica of the log may hide a record from a read that succeeds. Implements {@code Free}
   * of the module SilentWorker.
   */
  private boolean cannotBeHeld(
      AttemptProgress track,
      MemberProgress member,
      AttemptStopping stopping,
      DecisionContext turn) {
    Duration ttl = preferences.leaseTtl();
    Duration rest =
        ttl.plus(ttl.dividedBy(DRIFT_DIVISOR))
            .plus(ControlLimits.WORKER_REQUEST_TIMEOUT)
            .plusMillis(stopping.getNoticeMillis());
    if (track.foldedSince.isPresent()) {
      return turn.passed(Math.max(track.foldedSince.getAsLong(), member.renewedNanos), rest);
    }
    Duration unread = ControlLimits.OUTAGE_RIDE.plus(ControlLimits.REPLICA_LAG);
    return turn.passed(track.stoppingSince.getAsLong(), rest.plus(unread));
  }

  /** Implements {@code End}. */
  private void end(
      AttemptProgress track, AttemptStopping stopping, long epoch, DecisionContext turn) {
    AttemptEnded.Builder body =
        AttemptEnded.newBuilder()
            .setJob(track.attempt.job().value())
            .setAttempt(track.attempt.number())
            .setResult(result(track, stopping))
            .setReason(stopping.getReason())
            .setWorker(stopping.getWorker())
            .setExitCode(stopping.getExitCode())
            .setCheckpointed(track.all(member -> member.checkpointed || member.finished));
    track.unread = writer.append(ControlRecord.newBuilder().setAttemptEnded(body), epoch, turn);
  }

  private static AttemptResult result(AttemptProgress track, AttemptStopping stopping) {
    if (track.all(member -> member.finished)) {
      return AttemptResult.ATTEMPT_RESULT_FINISHED;
    }
    if (stopping.getReason() == StopReason.STOP_REASON_MEMBER_FAILED) {
      return AttemptResult.ATTEMPT_RESULT_FAILED;
    }
    return AttemptResult.ATTEMPT_RESULT_STOPPED;
  }
}
