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
 * Steps the live attempts through lease requests, commit, start, renewal, stop and end. The next
 * step is derived each time from the state in the log and from the workers' replies, so it does not
 * matter which VM took the previous steps.
 */
public final class GangDuty {

  /** Interval at which all attempts are stepped, so that timeouts are noticed without an event. */
  private static final Duration FULL_PASS_INTERVAL = Duration.ofMillis(500);

  private final LeaseReleaser releaser;
  private final LeaseRenewer renewer;
  private final GangCommitter committer;
  private final GangRunner runner;
  private final GangStopper stopper;
  private final WorkerBackoff backoff = new WorkerBackoff();
  private final Map<JobId, AttemptProgress> attempts = new LinkedHashMap<>();
  private final Map<String, MemberProgress> requestedLeases = new HashMap<>();
  private final Set<JobId> changedJobs = new LinkedHashSet<>();
  private GangMode mode = GangMode.OFF;
  private long lastFullPassNanos;

  /** Creates a duty without attempts. */
  public GangDuty(ControlPreferences preferences, RecordWriter writer, PeerTracker peers) {
    releaser = new LeaseReleaser(preferences.leaseTtl());
    renewer = new LeaseRenewer(preferences);
    committer = new GangCommitter(preferences, writer, releaser);
    runner = new GangRunner(preferences, writer, releaser);
    stopper = new GangStopper(preferences, writer, releaser, peers);
  }

  /**
   * Returns the workers that recently refused a lease or did not answer; no leases are requested
   * from them.
   */
  public Set<WorkerId> workersInBackoff(DecisionContext context) {
    return backoff.workersInBackoff(context);
  }

  /** Handles that a record about a job was applied. */
  public void jobChanged(JobId job) {
    if (mode != GangMode.OFF) {
      changedJobs.add(job);
    }
  }

  /** Requests that an attempt be ended that is not committed yet. */
  public void abort(AttemptId attempt, StopReason reason) {
    AttemptProgress progress = attempts.get(attempt.job());
    if (progress != null && progress.attempt.equals(attempt)) {
      progress.abortReason = Optional.of(reason);
      changedJobs.add(attempt.job());
    }
  }

  /**
   * Takes all steps that are due in the given mode.
   *
   * @param nextOffset offset after the last record that this VM has applied
   */
  public void step(ControlState state, GangMode now, long nextOffset, DecisionContext context) {
    changeMode(state, now, context);
    if (mode == GangMode.OFF || mode == GangMode.READ) {
      return;
    }
    for (JobId job : due(context)) {
      advance(job, state, nextOffset, context);
    }
    renewer.step(context);
    releaser.step(context);
  }

  private void changeMode(ControlState state, GangMode now, DecisionContext context) {
    if (now == mode) {
      return;
    }
    boolean wasOff = mode == GangMode.OFF;
    mode = now;
    if (now == GangMode.OFF) {
      clear();
      return;
    }
    if (wasOff || now == GangMode.DECIDE) {
      changedJobs.addAll(attempts.keySet());
      state.jobs().live().forEach(job -> changedJobs.add(job.id()));
      lastFullPassNanos = context.nowNanos();
    }
  }

  private void clear() {
    attempts.clear();
    requestedLeases.clear();
    changedJobs.clear();
    renewer.clear();
    releaser.clear();
  }

  private List<JobId> due(DecisionContext context) {
    if (context.hasElapsed(lastFullPassNanos, FULL_PASS_INTERVAL)) {
      lastFullPassNanos = context.nowNanos();
      changedJobs.addAll(attempts.keySet());
    }
    List<JobId> due = new ArrayList<>(changedJobs);
    changedJobs.clear();
    return due;
  }

  private void advance(JobId id, ControlState state, long nextOffset, DecisionContext context) {
    Optional<JobState> found = state.jobs().find(id).filter(JobState::live);
    AttemptProgress progress = attempts.get(id);
    if (progress != null && found.filter(job -> job.attempt().equals(progress.attempt)).isEmpty()) {
      stopTracking(progress, context);
    }
    if (found.isEmpty()) {
      return;
    }
    JobState job = found.get();
    AttemptProgress current =
        attempts.computeIfAbsent(id, key -> new AttemptProgress(job, context.nowNanos()));
    if (!job.committed()) {
      if (mode == GangMode.DECIDE) {
        committer.advance(current, job, state.epoch(), context);
        current.members.forEach(member -> requestedLeases.put(key(current, member), member));
      }
      return;
    }
    recordCommit(current, job, context);
    if (job.stopping()) {
      stopper.advance(current, job, mode, state.epoch(), nextOffset, context);
    } else {
      runner.advance(current, job, mode, state.epoch(), context);
    }
  }

  private static String key(AttemptProgress progress, MemberProgress member) {
    return progress.attempt + "/" + member.number;
  }

  /**
   * Records the leases of a commit that took effect, and begins to renew them. Leases that another
   * VM was granted are adopted.
   */
  private void recordCommit(AttemptProgress progress, JobState job, DecisionContext context) {
    if (progress.committed) {
      return;
    }
    progress.committed = true;
    boolean adopted = !progress.all(MemberProgress::granted);
    List<String> leases = job.snapshot().getCommitted().getLeasesList();
    for (MemberProgress member : progress.members) {
      member.lease = leases.get(member.number);
      requestedLeases.remove(key(progress, member));
    }
    if (adopted) {
      renewer.adopt(progress, context);
    } else {
      renewer.add(progress, context);
    }
  }

  /**
   * Releases the leases of an attempt whose end is in the log. Implements the action {@code
   * Release} of the module Gang.
   */
  private void stopTracking(AttemptProgress progress, DecisionContext context) {
    attempts.remove(progress.attempt.job());
    renewer.remove(progress);
    for (MemberProgress member : progress.members) {
      requestedLeases.remove(key(progress, member));
      if (member.granted() && !member.gone) {
        releaser.release(member.worker, member.lease, context);
      }
    }
  }

  /** Handles the reply of a worker, or that it did not reply. */
  public void answered(WorkerReply reply, DecisionContext context) {
    boolean silence = reply instanceof WorkerReply.Silent;
    renewer.heard(reply.worker(), silence);
    if (!silence) {
      backoff.answered(reply.worker());
    }
    switch (reply) {
      case WorkerReply.Granted granted -> granted(granted, context);
      case WorkerReply.GrantRefused refused -> {
        backoff.refused(refused.worker(), context);
        markRefused(refused.key());
      }
      case WorkerReply.States states ->
          states.states().forEach(s -> updateMember(states, s, context));
      case WorkerReply.Silent silent -> {
        backoff.silent(silent.worker(), context);
        if (silent.command() instanceof WorkerCommand.Grant grant) {
          markRefused(grant.key());
        }
      }
    }
  }

  private void granted(WorkerReply.Granted granted, DecisionContext context) {
    MemberProgress member = requestedLeases.get(granted.key());
    if (member == null || member.refused || member.granted()) {
      releaseStray(granted, context);
      return;
    }
    member.lease = granted.lease();
    member.lastReplyNanos = context.nowNanos();
    member.lastRenewalNanos = context.nowNanos();
    changedJobs.add(jobOf(granted.key()));
  }

  /**
   * Releases a lease that was granted too late to be part of a commit. No other VM can know it, so
   * releasing it is safe.
   */
  private void releaseStray(WorkerReply.Granted granted, DecisionContext context) {
    if (renewer.holder(granted.worker(), granted.lease()).isPresent() || mode == GangMode.READ) {
      return;
    }
    context.count("fescuehook.control.stray.leases");
    releaser.release(granted.worker(), granted.lease(), context);
  }

  private void markRefused(String key) {
    MemberProgress member = requestedLeases.get(key);
    if (member != null && !member.granted()) {
      member.refused = true;
      changedJobs.add(jobOf(key));
    }
  }

  private static JobId jobOf(String key) {
    String attempt = key.substring(0, key.lastIndexOf('/'));
    return new JobId(attempt.substring(0, attempt.lastIndexOf('.')));
  }

  private void updateMember(WorkerReply.States states, State state, DecisionContext context) {
    if (state.state() == LeaseState.GONE) {
      releaser.gone(states.worker(), state.lease());
    }
    renewer
        .holder(states.worker(), state.lease())
        .ifPresent(
            holder -> {
              holder.member().update(state, context.nowNanos());
              changedJobs.add(holder.attempt().attempt.job());
            });
  }
}
