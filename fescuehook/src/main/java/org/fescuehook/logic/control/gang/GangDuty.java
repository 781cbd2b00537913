package org.fescuehook.logic.control.gang;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.ownership.PeerTracker;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.logic.worker.WorkerPort.LeaseState;
import org.fescuehook.logic.worker.WorkerPort.State;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.logic.worker.WorkerPort.WorkerReply;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.wire.StopReason;

/**
 * Drives the live attempts: leases, commit, start, renewal, stop and end. What to do next is worked
 * out anew each time from the log's state and the workers' words, so that nothing depends on which
 * VM did the steps before.
 */
public final class GangDuty {

  private static final Duration FULL_ROUND = Duration.ofMillis(500);

  private final LeaseReleaser releaser;
  private final LeaseRenewer renewer;
  private final GangCommitter starter;
  private final GangRunner runner;
  private final GangStopper stopper;
  private final WorkerBackoff rest = new WorkerBackoff();
  private final Map<JobId, AttemptProgress> tracks = new LinkedHashMap<>();
  private final Map<String, MemberProgress> asked = new HashMap<>();
  private final Set<JobId> touched = new LinkedHashSet<>();
  private GangMode mode = GangMode.OFF;
  private long lastRound;

  /** Creates a duty that drives nothing. */
  public GangDuty(ControlPreferences preferences, RecordWriter writer, PeerTracker peers) {
    releaser = new LeaseReleaser(preferences.leaseTtl());
    renewer = new LeaseRenewer(preferences);
    starter = new GangCommitter(preferences, writer, releaser);
    runner = new GangRunner(preferences, writer, releaser);
    stopper = new GangStopper(preferences, writer, releaser, peers);
  }

  /** Returns workers that refused a lease or gave no answer lately. */
  public Set<WorkerId> restingWorkers(DecisionContext turn) {
    return rest.resting(turn);
  }

  /** A record about a job was folded. */
  public void folded(JobId job) {
    if (mode != GangMode.OFF) {
      touched.add(job);
    }
  }

  /** The policy wants an attempt ended that is not committed yet. */
  public void abort(AttemptId attempt, StopReason reason) {
    AttemptProgress track = tracks.get(attempt.job());
    if (track != null && track.attempt.equals(attempt)) {
      track.abort = Optional.of(reason);
      touched.add(attempt.job());
    }
  }

  /**
   * Takes all steps that are due.
   *
   * @param foldedUntil offset after the last record that this VM has folded
   */
  public void step(ControlState state, GangMode now, long foldedUntil, DecisionContext turn) {
    changeMode(state, now, turn);
    if (mode == GangMode.OFF || mode == GangMode.READ) {
      return;
    }
    for (JobId job : due(turn)) {
      advance(job, state, foldedUntil, turn);
    }
    renewer.step(turn);
    releaser.step(turn);
  }

  private void changeMode(ControlState state, GangMode now, DecisionContext turn) {
    if (now == mode) {
      return;
    }
    boolean fresh = mode == GangMode.OFF;
    mode = now;
    if (now == GangMode.OFF) {
      clear();
      return;
    }
    if (fresh || now == GangMode.DECIDE) {
      touched.addAll(tracks.keySet());
      state.jobs().live().forEach(job -> touched.add(job.id()));
      lastRound = turn.now();
    }
  }

  private void clear() {
    tracks.clear();
    asked.clear();
    touched.clear();
    renewer.clear();
    releaser.clear();
  }

  private List<JobId> due(DecisionContext turn) {
    if (turn.passed(lastRound, FULL_ROUND)) {
      lastRound = turn.now();
      touched.addAll(tracks.keySet());
    }
    List<JobId> due = new ArrayList<>(touched);
    touched.clear();
    return due;
  }

  private void advance(JobId id, ControlState state, long foldedUntil, DecisionContext turn) {
    Optional<JobState> found = state.jobs().find(id).filter(JobState::live);
    AttemptProgress track = tracks.get(id);
    if (track != null && found.filter(job -> job.attempt().equals(track.attempt)).isEmpty()) {
      drop(track, turn);
    }
    if (found.isEmpty()) {
      return;
    }
    JobState job = found.get();
    AttemptProgress current =
        tracks.computeIfAbsent(id, key -> new AttemptProgress(job, turn.now()));
    if (!job.committed()) {
      if (mode == GangMode.DECIDE) {
        starter.advance(current, job, state.epoch(), turn);
        current.members.forEach(member -> asked.put(key(current, member), member));
      }
      return;
    }
    takeCommit(current, job, turn);
    if (job.stopping()) {
      stopper.advance(current, job, mode, state.epoch(), foldedUntil, turn);
    } else {
      runner.advance(current, job, mode, state.epoch(), turn);
    }
  }

  private static String key(AttemptProgress track, MemberProgress member) {
    return track.attempt + "/" + member.number;
  }

  /** Notes the leases of a commit that counted; those of another VM are adopted. */
  private void takeCommit(AttemptProgress track, JobState job, DecisionContext turn) {
    if (track.committed) {
      return;
    }
    track.committed = true;
    boolean adopted = !track.all(MemberProgress::granted);
    List<String> leases = job.facts().getCommitted().getLeasesList();
    for (MemberProgress member : track.members) {
      member.lease = leases.get(member.number);
      asked.remove(key(track, member));
    }
    if (adopted) {
      renewer.adopt(track, turn);
    } else {
      renewer.add(track, turn);
    }
  }

  /** The attempt ended in the log, so its leases serve nobody. Implements {@code Release}. */
  private void drop(AttemptProgress track, DecisionContext turn) {
    tracks.remove(track.attempt.job());
    renewer.remove(track);
    for (MemberProgress member : track.members) {
      asked.remove(key(track, member));
      if (member.granted() && !member.gone) {
        releaser.release(member.worker, member.lease, turn);
      }
    }
  }

  /** Takes in the answer of a worker, or that there was none. */
  public void answered(WorkerReply reply, DecisionContext turn) {
    boolean silence = reply instanceof WorkerReply.Silent;
    renewer.heard(reply.worker(), silence);
    if (!silence) {
      rest.answered(reply.worker());
    }
    switch (reply) {
      case WorkerReply.Granted granted -> granted(granted, turn);
      case WorkerReply.GrantRefused refused -> {
        rest.refused(refused.worker(), turn);
        refuse(refused.key());
      }
      case WorkerReply.States states -> states.states().forEach(s -> heard(states, s, turn));
      case WorkerReply.Silent silent -> {
        rest.silent(silent.worker(), turn);
        if (silent.command() instanceof WorkerCommand.Grant grant) {
          refuse(grant.key());
        }
      }
    }
  }

  private void granted(WorkerReply.Granted granted, DecisionContext turn) {
    MemberProgress member = asked.get(granted.key());
    if (member == null || member.refused || member.granted()) {
      releaseStray(granted, turn);
      return;
    }
    member.lease = granted.lease();
    member.heardNanos = turn.now();
    member.renewedNanos = turn.now();
    touched.add(jobOf(granted.key()));
  }

  /** A lease that came late is in no commit: this VM alone knows it, and it did not commit it. */
  private void releaseStray(WorkerReply.Granted granted, DecisionContext turn) {
    if (renewer.holder(granted.worker(), granted.lease()).isPresent() || mode == GangMode.READ) {
      return;
    }
    turn.count("fescuehook.control.stray.leases");
    releaser.release(granted.worker(), granted.lease(), turn);
  }

  private void refuse(String key) {
    MemberProgress member = asked.get(key);
    if (member != null && !member.granted()) {
      member.refused = true;
      touched.add(jobOf(key));
    }
  }

  private static JobId jobOf(String key) {
    String attempt = key.substring(0, key.lastIndexOf('/'));
    return new JobId(attempt.substring(0, attempt.lastIndexOf('.')));
  }

  private void heard(WorkerReply.States states, State state, DecisionContext turn) {
    if (state.state() == LeaseState.GONE) {
      releaser.gone(states.worker(), state.lease());
    }
    renewer
        .holder(states.worker(), state.lease())
        .ifPresent(
            holder -> {
              holder.member().heard(state, turn.now());
              touched.add(holder.attempt().attempt.job());
            });
  }
}
