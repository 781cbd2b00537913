package org.fescuehook.logic.control.gang;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.fescuehook.logic.control.state.JobState;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.AttemptId;
import org.fescuehook.wire.StopReason;

/** Progress of one live attempt: what the VM that steps it knows beyond the records in the log. */
final class AttemptProgress {
  final AttemptId attempt;
  final List<MemberProgress> members = new ArrayList<>();
  final long createdNanos;
  Optional<StopReason> abortReason = Optional.empty();
  OptionalLong stoppingSinceNanos = OptionalLong.empty();
  OptionalLong appliedByAllSinceNanos = OptionalLong.empty();
  OptionalLong startingSinceNanos = OptionalLong.empty();
  long stoppingOffset;
  long pendingSequence;
  boolean committed;
  boolean awaitsCheckpoint;
  boolean releasing;
  boolean abandoned;

  AttemptProgress(JobState job, long nowNanos) {
    this.attempt = job.attempt();
    this.createdNanos = nowNanos;
    int number = 0;
    for (WorkerId worker : job.workers()) {
      members.add(new MemberProgress(number, worker, nowNanos));
      number++;
    }
  }

  boolean all(Predicate<MemberProgress> condition) {
    return members.stream().allMatch(condition);
  }

  Optional<MemberProgress> first(Predicate<MemberProgress> condition) {
    return members.stream().filter(condition).findFirst();
  }

  /** Returns whether this VM renews the leases of this attempt. */
  boolean renewable() {
    return committed && !releasing && !abandoned;
  }
}
