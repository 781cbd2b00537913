package org.fescuehook.logic.batch.state;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.JobPhase;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.wire.batch.StoredJob;
import org.fescuehook.wire.batch.StoredLoss;
import org.fescuehook.wire.batch.StoredProgress;
import org.fescuehook.wire.batch.StoredQueue;
import org.fescuehook.wire.batch.StoredStepProgress;
import org.fescuehook.wire.batch.StoredTaskProgress;

/** Encodes and decodes the stored records of jobs and their progress, and their keys. */
public final class JobCodec {

  private static final String JOB_PREFIX = "j/";
  private static final String PROGRESS_PREFIX = "p/";
  private static final String EARLY_CANCEL_PREFIX = "c/";

  /**
   * Ended jobs have a prefix of their own. Under the prefix of jobs, an owner of an older version
   * would take the record for a job to run as soon as the record of the job's end is removed.
   */
  private static final String ENDED_PREFIX = "r/";

  private JobCodec() {}

  /** Returns the key of the record of a job as it was accepted. */
  public static String jobKey(String id) {
    return JOB_PREFIX + id;
  }

  /** Returns the key of the record of a job's progress. */
  public static String progressKey(String id) {
    return PROGRESS_PREFIX + id;
  }

  /**
   * Returns the key of the record of a cancel that came before the submission of its job. The scope
   * is hashed, since keys of the store are at most 255 bytes long.
   */
  public static String earlyCancelKey(String id, JobScope scope) {
    byte[] names = (scope.queue() + "\0" + scope.organisation()).getBytes(StandardCharsets.UTF_8);
    return unscopedEarlyCancelKey(id) + "/" + UUID.nameUUIDFromBytes(names);
  }

  /** Returns the key under which earlier versions stored early cancels, whatever their scope. */
  static String unscopedEarlyCancelKey(String id) {
    return EARLY_CANCEL_PREFIX + id;
  }

  /** Returns the key of the record of a job that has ended and may still have live runs. */
  public static String endedJobKey(String id) {
    return ENDED_PREFIX + id;
  }

  /** Returns the job id in the key of an ended job; empty if the key is of another kind. */
  public static Optional<String> endedJobOf(String key) {
    return suffix(key, ENDED_PREFIX);
  }

  /** Returns whether a key is that of an early cancel. */
  public static boolean isEarlyCancelKey(String key) {
    return key.startsWith(EARLY_CANCEL_PREFIX);
  }

  /** Returns the job id in the key of an accepted job; empty if the key is of another kind. */
  public static Optional<String> jobOf(String key) {
    return suffix(key, JOB_PREFIX);
  }

  /** Returns the job id in the key of a job's progress; empty if the key is of another kind. */
  public static Optional<String> progressOf(String key) {
    return suffix(key, PROGRESS_PREFIX);
  }

  private static Optional<String> suffix(String key, String prefix) {
    return key.startsWith(prefix) ? Optional.of(key.substring(prefix.length())) : Optional.empty();
  }

  /** Encodes a job. */
  public static byte[] encode(BatchJob job) {
    return StoredJob.newBuilder()
        .setQueue(encode(job.queue()))
        .setOrganisation(job.organisation())
        .setAcceptedMillis(job.acceptedMillis())
        .setSubmission(SubmissionCodec.encode(job.submission()))
        .build()
        .toByteArray();
  }

  /**
   * Decodes a job.
   *
   * @throws UnreadableRecordException if the bytes are not the record of a job
   */
  public static BatchJob decodeJob(String id, byte[] value) throws UnreadableRecordException {
    try {
      StoredJob stored = StoredJob.parseFrom(value);
      return new BatchJob(
          id,
          decode(stored.getQueue()),
          stored.getOrganisation(),
          stored.getAcceptedMillis(),
          SubmissionCodec.decode(stored.getSubmission()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      throw new UnreadableRecordException("job " + id, e);
    }
  }

  private static StoredQueue encode(JobQueue queue) {
    return StoredQueue.newBuilder()
        .setName(queue.name())
        .setPool(queue.pool())
        .setPriority(queue.priority())
        .setMaxAttempts(queue.maxAttempts())
        .setDeadlineFactor(queue.deadlineFactor())
        .setTargetLatencyMillis(queue.targetLatencyMillis())
        .setOpen(queue.open())
        .setAdvised(queue.advised())
        .build();
  }

  private static JobQueue decode(StoredQueue stored) {
    return new JobQueue(
        stored.getName(),
        stored.getPool(),
        stored.getPriority(),
        stored.getMaxAttempts(),
        stored.getDeadlineFactor(),
        stored.getTargetLatencyMillis(),
        stored.getOpen(),
        stored.getAdvised());
  }

  /** Encodes the progress of a job. */
  public static byte[] encodeProgress(ActiveJob job) {
    StoredProgress.Builder stored =
        StoredProgress.newBuilder()
            .setState(state(job.end()))
            .setEndedMillis(job.endedMillis())
            .setBegun(job.begun());
    for (StepProgress step : job.steps()) {
      encodeStep(step, job.open()).ifPresent(stored::addSteps);
    }
    if (!job.open()) {
      // The record of the job itself is removed with its end.
      encode(JobScope.of(job.job()), stored);
    }
    return stored.build().toByteArray();
  }

  private static void encode(JobScope scope, StoredProgress.Builder stored) {
    stored.setQueue(scope.queue()).setOrganisation(scope.organisation());
  }

  private static Optional<JobScope> scope(StoredProgress stored) {
    return stored.getQueue().isEmpty()
        ? Optional.empty()
        : Optional.of(new JobScope(stored.getQueue(), stored.getOrganisation()));
  }

  /** Encodes the end of a job that had no runs. */
  public static byte[] encodeEnd(JobRegistry.EndedJob end) {
    StoredProgress.Builder stored =
        StoredProgress.newBuilder()
            .setState(state(Optional.of(end.phase())))
            .setEndedMillis(end.endedMillis());
    end.scope().ifPresent(scope -> encode(scope, stored));
    return stored.build().toByteArray();
  }

  /**
   * Encodes the progress of a step. If the step is done or its job has ended, only the tasks with
   * live runs are included. The time of the last failure is kept with an ended job as well, as the
   * next owner learns from it whether executors have been failing lately. Returns empty if there is
   * nothing to store.
   */
  private static Optional<StoredStepProgress> encodeStep(StepProgress step, boolean open) {
    StoredStepProgress.Builder stored =
        StoredStepProgress.newBuilder()
            .setOccurrence(step.occurrence())
            .setStep(step.number())
            .setDone(step.done())
            .setGangFailures(step.gangFailures())
            .setLastFailedGangRun(step.lastFailedGangRun())
            .setLastFailedMillis(step.storedFailureMillis());
    boolean runsOnly = step.done() || !open;
    for (TaskProgress task : step.tasks()) {
      if (runsOnly ? task.live().isPresent() : task.lastRun() > 0) {
        stored.addTasks(encodeTask(task));
      }
    }
    boolean hasContent =
        stored.getTasksCount() > 0 || (step.done() && open) || step.storedFailureMillis() > 0;
    return hasContent ? Optional.of(stored.build()) : Optional.empty();
  }

  private static StoredTaskProgress encodeTask(TaskProgress task) {
    StoredTaskProgress.Builder stored =
        StoredTaskProgress.newBuilder()
            .setIndex(task.index())
            .setDone(task.done())
            .setFailures(task.failures())
            .setLastRun(task.lastRun())
            .setCheckpoint(task.done() ? "" : task.checkpoint())
            .setExecutor(task.live().map(run -> run.executor().value()).orElse(""))
            .setExecutorBornMillis(
                task.live().map(run -> bornMillis(run.incarnation())).orElse(0L));
    if (!task.crashes().losses().isEmpty()) {
      encode(task.crashes(), stored);
    }
    return stored.build();
  }

  private static void encode(CrashRecord crashes, StoredTaskProgress.Builder stored) {
    stored
        .setEarlyCrashes(crashes.early())
        .setLateCrashes(crashes.late())
        .setOtherLosses(crashes.other())
        .setCrashedAlone(crashes.alone())
        .setThirdLossRun(crashes.thirdLossRun())
        .addAllLosses(crashes.losses().stream().map(JobCodec::encode).toList());
  }

  private static StoredLoss encode(ExecutorLoss loss) {
    return StoredLoss.newBuilder()
        .setRun(loss.run())
        .setEvidence(
            switch (loss.evidence()) {
              case NONE, UNRESOLVED -> StoredLoss.Evidence.UNRESOLVED;
              case GONE -> StoredLoss.Evidence.GONE;
              case DOUBTFUL -> StoredLoss.Evidence.DOUBTFUL;
              case WEAK -> StoredLoss.Evidence.WEAK;
              case STRONG -> StoredLoss.Evidence.STRONG;
              case STRONG_ALONE -> StoredLoss.Evidence.STRONG_ALONE;
            })
        .setExecutor(loss.mayReturn().map(executor -> executor.id().value()).orElse(""))
        .setExecutorBornMillis(loss.mayReturn().map(JobCodec::bornMillis).orElse(0L))
        .build();
  }

  /** Returns when an incarnation started; 0 if it does not report it. */
  private static long bornMillis(Incarnation executor) {
    return executor.bornMillis().orElse(0);
  }

  /**
   * Decodes the end of a job.
   *
   * @param id id of the job, or key of the record, for messages
   * @return the end; empty if the job is open
   * @throws UnreadableRecordException if the bytes are not the progress of a job
   */
  public static Optional<JobRegistry.EndedJob> decodeEnd(String id, byte[] value)
      throws UnreadableRecordException {
    StoredProgress stored = parse(id, value);
    return phase(stored.getState())
        .map(phase -> new JobRegistry.EndedJob(phase, stored.getEndedMillis(), scope(stored)));
  }

  /**
   * Returns when the steps of an ended job last failed, milliseconds since 1970. A job that has
   * failed without such times counts with its end, since an earlier version may have stored it.
   *
   * @param id id of the job, for messages
   * @throws UnreadableRecordException if the bytes are not the progress of a job
   */
  public static List<Long> failuresOfEnded(String id, byte[] value)
      throws UnreadableRecordException {
    StoredProgress stored = parse(id, value);
    List<Long> failures =
        stored.getStepsList().stream()
            .map(StoredStepProgress::getLastFailedMillis)
            .filter(millis -> millis > 0)
            .toList();
    boolean unknown = failures.isEmpty() && stored.getState() == StoredProgress.State.FAILED;
    return unknown ? List.of(stored.getEndedMillis()) : failures;
  }

  /**
   * Restores stored progress into a newly created job; its live runs are restored as inherited
   * runs.
   *
   * @throws UnreadableRecordException if the bytes are not the progress of this job
   */
  public static void restore(ActiveJob job, byte[] value, long nowNanos)
      throws UnreadableRecordException {
    StoredProgress stored = parse(job.job().id(), value);
    ProgressRestorer restorer = new ProgressRestorer(job, nowNanos);
    for (StoredStepProgress step : stored.getStepsList()) {
      restorer.restore(step);
    }
    job.restore(stored.getBegun(), phase(stored.getState()), stored.getEndedMillis());
  }

  private static StoredProgress parse(String id, byte[] value) throws UnreadableRecordException {
    try {
      return StoredProgress.parseFrom(value);
    } catch (InvalidProtocolBufferException e) {
      throw new UnreadableRecordException("progress of job " + id, e);
    }
  }

  private static StoredProgress.State state(Optional<JobPhase> end) {
    if (end.isEmpty()) {
      return StoredProgress.State.OPEN;
    }
    return switch (end.get()) {
      case COMPLETED -> StoredProgress.State.COMPLETED;
      case FAILED -> StoredProgress.State.FAILED;
      case CANCELLED -> StoredProgress.State.CANCELLED;
      case QUEUED, IN_PROGRESS -> StoredProgress.State.OPEN;
    };
  }

  private static Optional<JobPhase> phase(StoredProgress.State state) {
    return switch (state) {
      case COMPLETED -> Optional.of(JobPhase.COMPLETED);
      case FAILED -> Optional.of(JobPhase.FAILED);
      case CANCELLED -> Optional.of(JobPhase.CANCELLED);
      case OPEN, UNRECOGNIZED -> Optional.empty();
    };
  }
}
