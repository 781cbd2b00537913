package org.fescuehook.logic.control.state;

import static org.fescuehook.logic.control.state.FoldResult.COUNTED;
import static org.fescuehook.logic.control.state.FoldResult.NOT_APPLICABLE;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Shape;
import org.fescuehook.wire.AttemptCommitted;
import org.fescuehook.wire.AttemptEnded;
import org.fescuehook.wire.AttemptPlanned;
import org.fescuehook.wire.AttemptResult;
import org.fescuehook.wire.AttemptStopping;
import org.fescuehook.wire.JobCancelRequested;
import org.fescuehook.wire.JobEnded;
import org.fescuehook.wire.JobSnapshot;
import org.fescuehook.wire.JobSubmitted;

/**
 * Holds the jobs that wait, the jobs that have a live attempt, and the recently ended ones, which
 * callers can still query.
 */
public final class JobRegistry {

  /** Maximum number of ended jobs that are kept. */
  static final int MAX_ENDED_JOBS = 2000;

  /** Time for which an ended job is kept, according to the log's clock. */
  static final long ENDED_RETENTION_MILLIS = 24L * 60 * 60 * 1000;

  private static final long MILLIS_PER_SECOND = 1000;

  private record RequestKey(String organisation, String requestId) {}

  private final Map<JobId, JobState> jobs = new HashMap<>();
  private final Map<RequestKey, JobId> byRequest = new HashMap<>();
  private final TreeMap<Long, JobId> waiting = new TreeMap<>();
  private final TreeMap<Long, JobId> live = new TreeMap<>();
  private final TreeMap<Long, JobId> ended = new TreeMap<>();

  /** Returns a job; empty if it is unknown or is no longer kept. */
  public Optional<JobState> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Returns the job that was first submitted under a request id of the caller. */
  public Optional<JobId> findByRequest(String organisation, String requestId) {
    return Optional.ofNullable(byRequest.get(new RequestKey(organisation, requestId)));
  }

  /** Returns the jobs without a live attempt and without a result, in the order of submission. */
  public List<JobState> waiting() {
    return states(waiting.values());
  }

  /** Returns the jobs with a live attempt, in the order in which the attempts were planned. */
  public List<JobState> live() {
    return states(live.values());
  }

  /** Returns the number of waiting jobs. */
  public int waitingCount() {
    return waiting.size();
  }

  /** Returns the number of live attempts. */
  public int liveCount() {
    return live.size();
  }

  private List<JobState> states(Collection<JobId> ids) {
    List<JobState> states = new ArrayList<>(ids.size());
    for (JobId id : ids) {
      states.add(jobs.get(id));
    }
    return states;
  }

  FoldResult submit(JobSubmitted submitted, long offset) {
    if (!wellFormed(submitted) || jobs.containsKey(new JobId(submitted.getJob()))) {
      return NOT_APPLICABLE;
    }
    RequestKey key = new RequestKey(submitted.getOrganisation(), submitted.getRequestId());
    if (!submitted.getRequestId().isEmpty() && byRequest.containsKey(key)) {
      return NOT_APPLICABLE;
    }
    put(JobState.of(JobSnapshot.newBuilder().setJob(submitted).setSubmittedOffset(offset).build()));
    return COUNTED;
  }

  private static boolean wellFormed(JobSubmitted submitted) {
    if (submitted.getJob().isBlank() || submitted.getOrganisation().isBlank()) {
      return false;
    }
    org.fescuehook.wire.Shape shape = submitted.getShape();
    boolean members = shape.getMembers() >= 1 && shape.getMembers() <= Shape.MAX_MEMBERS;
    boolean resources = shape.getAccelerators() >= 0 && shape.getCores() >= 0;
    return members && resources && shape.getMemoryMegabytes() >= 0 && shape.getMaxRacks() >= 0;
  }

  FoldResult requestCancel(JobCancelRequested request) {
    Optional<JobState> found = find(request.getJob());
    if (found.isEmpty() || found.get().hasResult()) {
      return NOT_APPLICABLE;
    }
    put(found.get().with(found.get().snapshot().toBuilder().setCancelRequested(true)));
    return COUNTED;
  }

  /**
   * Applies a plan, which takes effect only if it is the next attempt of a waiting job whose
   * cancellation was not requested.
   */
  FoldResult plan(AttemptPlanned planned, long epoch, long offset, long millis) {
    Optional<JobState> found = find(planned.getJob());
    if (found.isEmpty() || !found.get().waiting() || found.get().snapshot().getCancelRequested()) {
      return NOT_APPLICABLE;
    }
    JobState state = found.get();
    boolean next = planned.getAttempt() == state.attempt().number() + 1;
    boolean complete = planned.getWorkersCount() == state.job().shape().members();
    if (!next || !complete || planned.getWorkersList().stream().anyMatch(String::isBlank)) {
      return NOT_APPLICABLE;
    }
    put(
        state.with(
            state.snapshot().toBuilder()
                .setPlanned(planned)
                .clearCommitted()
                .clearStopping()
                .clearEnded()
                .clearCommittedMillis()
                .setPlannedEpochPlusOne(epoch + 1)
                .setPlannedOffset(offset)
                .setStartedMillis(millis)));
    return COUNTED;
  }

  /**
   * Applies a commit, which takes effect only under the epoch of the plan, so that no later owner
   * can commit the attempt.
   */
  FoldResult commit(AttemptCommitted committed, long epoch, long millis) {
    Optional<JobState> found = findLive(committed.getJob(), committed.getAttempt());
    if (found.isEmpty() || found.get().committed() || found.get().stopping()) {
      return NOT_APPLICABLE;
    }
    JobState state = found.get();
    boolean complete = committed.getLeasesCount() == state.job().shape().members();
    if (!complete || state.plannedEpoch() != epoch) {
      return NOT_APPLICABLE;
    }
    put(
        state.with(
            state.snapshot().toBuilder().setCommitted(committed).setCommittedMillis(millis)));
    return COUNTED;
  }

  /**
   * Applies a stop. Only the first stop of an attempt takes effect; an attempt that was not
   * committed is not stopped but ended.
   */
  FoldResult stop(AttemptStopping stopping) {
    Optional<JobState> found = findLive(stopping.getJob(), stopping.getAttempt());
    if (found.isEmpty() || !found.get().committed() || found.get().stopping()) {
      return NOT_APPLICABLE;
    }
    put(found.get().with(found.get().snapshot().toBuilder().setStopping(stopping)));
    return COUNTED;
  }

  /**
   * Applies the end of an attempt. An attempt ends as never started if and only if it was not
   * committed.
   */
  FoldResult endAttempt(AttemptEnded end, long millis) {
    Optional<JobState> found = findLive(end.getJob(), end.getAttempt());
    if (found.isEmpty()) {
      return NOT_APPLICABLE;
    }
    JobState state = found.get();
    boolean neverStarted = end.getResult() == AttemptResult.ATTEMPT_RESULT_NEVER_STARTED;
    if (neverStarted == state.committed()) {
      return NOT_APPLICABLE;
    }
    JobSnapshot.Builder changed = state.snapshot().toBuilder().setEnded(end);
    if (neverStarted) {
      changed.setNeverStarted(changed.getNeverStarted() + 1);
    }
    if (end.getResult() == AttemptResult.ATTEMPT_RESULT_FAILED) {
      changed.setFailures(changed.getFailures() + 1);
      addAvoided(changed, end.getWorker());
    }
    if (end.getCheckpointed()) {
      long ran = Math.max(0, millis - changed.getCommittedMillis()) / MILLIS_PER_SECOND;
      changed.setKeptSeconds(changed.getKeptSeconds() + ran);
    }
    put(state.with(changed));
    return COUNTED;
  }

  private static void addAvoided(JobSnapshot.Builder changed, String worker) {
    if (!worker.isBlank() && !changed.getAvoidList().contains(worker)) {
      changed.addAvoid(worker);
    }
  }

  FoldResult endJob(JobEnded end, long offset, long millis) {
    Optional<JobState> found = find(end.getJob());
    if (found.isEmpty() || !found.get().waiting()) {
      return NOT_APPLICABLE;
    }
    put(
        found
            .get()
            .with(
                found.get().snapshot().toBuilder()
                    .setJobEnded(end)
                    .setEndedOffset(offset)
                    .setEndedMillis(millis)));
    forgetEnded(millis);
    return COUNTED;
  }

  private void forgetEnded(long millis) {
    while (!ended.isEmpty()) {
      JobState oldest = jobs.get(ended.firstEntry().getValue());
      boolean old = oldest.snapshot().getEndedMillis() < millis - ENDED_RETENTION_MILLIS;
      if (!old && ended.size() <= MAX_ENDED_JOBS) {
        return;
      }
      forget(oldest);
    }
  }

  private void forget(JobState state) {
    unlist(state);
    jobs.remove(state.id());
    state.job().requestId().ifPresent(id -> byRequest.remove(keyOf(state, id)));
  }

  private static RequestKey keyOf(JobState state, String requestId) {
    return new RequestKey(state.job().organisation().value(), requestId);
  }

  private Optional<JobState> find(String name) {
    if (name.isBlank()) {
      return Optional.empty();
    }
    return find(new JobId(name));
  }

  private Optional<JobState> findLive(String name, int attempt) {
    return find(name).filter(JobState::live).filter(state -> state.attempt().number() == attempt);
  }

  private void put(JobState state) {
    JobState old = jobs.put(state.id(), state);
    if (old != null) {
      unlist(old);
    }
    state.job().requestId().ifPresent(id -> byRequest.put(keyOf(state, id), state.id()));
    JobSnapshot snapshot = state.snapshot();
    if (state.hasResult()) {
      ended.put(snapshot.getEndedOffset(), state.id());
    } else if (state.live()) {
      live.put(snapshot.getPlannedOffset(), state.id());
    } else {
      waiting.put(snapshot.getSubmittedOffset(), state.id());
    }
  }

  private void unlist(JobState state) {
    waiting.remove(state.snapshot().getSubmittedOffset(), state.id());
    live.remove(state.snapshot().getPlannedOffset(), state.id());
    ended.remove(state.snapshot().getEndedOffset(), state.id());
  }

  List<JobSnapshot> snapshots() {
    List<JobSnapshot> snapshots = new ArrayList<>(jobs.size());
    for (JobState state : states(ended.values())) {
      snapshots.add(state.snapshot());
    }
    for (JobState state : live()) {
      snapshots.add(state.snapshot());
    }
    for (JobState state : waiting()) {
      snapshots.add(state.snapshot());
    }
    return snapshots;
  }

  void restore(List<JobSnapshot> snapshots) {
    jobs.clear();
    byRequest.clear();
    waiting.clear();
    live.clear();
    ended.clear();
    for (JobSnapshot snapshot : snapshots) {
      put(JobState.of(snapshot));
    }
  }
}
