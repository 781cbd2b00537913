package org.fescuehook.logic.batch.state;

import java.util.Optional;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.model.batch.JobPhase;

/** Writes the records of jobs to the store and retires jobs once their end is stored. */
final class JobRecords {

  private final JobRegistry registry;
  private final StateWriter writer;

  JobRecords(JobRegistry registry, StateWriter writer) {
    this.registry = registry;
    this.writer = writer;
  }

  /** Stores the progress of a job. */
  void persist(ActiveJob job, Runnable committed) {
    EncodedProgress encoded = new EncodedProgress(job);
    writer.put(
        JobCodec.progressKey(job.job().id()),
        encoded::encode,
        () -> {
          encoded.markStored();
          committed.run();
        });
  }

  /** Stores no progress of a job that was not accepted. */
  void withdraw(ActiveJob job) {
    writer.put(JobCodec.progressKey(job.job().id()), Optional::empty, () -> {});
  }

  /** Calls back once the current progress of a job is stored. */
  void whenStored(ActiveJob job, Runnable committed) {
    writer.whenStored(JobCodec.progressKey(job.job().id()), committed);
  }

  /**
   * Stores the end of a job. While the job has live runs, the store also keeps the job itself, so
   * that a new owner knows which runs it has to stop.
   */
  void end(ActiveJob job, Runnable committed, BatchContext context) {
    String id = job.job().id();
    boolean noLiveRuns = job.liveRuns().isEmpty();
    persist(
        job,
        () -> {
          if (noLiveRuns) {
            registry.retire(job, context.nowNanos());
          }
          committed.run();
        });
    if (!noLiveRuns) {
      byte[] stored = JobCodec.encode(job.job());
      writer.put(JobCodec.endedJobKey(id), () -> Optional.of(stored), () -> {});
    }
    writer.put(JobCodec.jobKey(id), Optional::empty, () -> {});
  }

  /** Retires a job if it has ended and has no live runs. */
  void retireIfEnded(ActiveJob job, BatchContext context) {
    if (job.open() || !job.liveRuns().isEmpty()) {
      return;
    }
    String id = job.job().id();
    persist(job, () -> registry.retire(job, context.nowNanos()));
    writer.put(JobCodec.jobKey(id), Optional::empty, () -> {});
    writer.put(JobCodec.endedJobKey(id), Optional::empty, () -> {});
  }

  /** Stores the cancel of a job that is not known, as its submission may still arrive. */
  void cancelEarly(String id, JobScope scope, Runnable committed, BatchContext context) {
    JobRegistry.EndedJob cancelled =
        new JobRegistry.EndedJob(JobPhase.CANCELLED, context.wallMillis(), Optional.of(scope));
    String key = JobCodec.earlyCancelKey(id, scope);
    registry.addEarlyCancel(key, cancelled, context.nowNanos());
    byte[] stored = JobCodec.encodeEnd(cancelled);
    writer.put(key, () -> Optional.of(stored), committed);
  }

  /**
   * The progress of a job as it was encoded for an append. The job may have changed again by the
   * time the append is stored, and callers must not be told a state that is not stored.
   */
  private static final class EncodedProgress {
    private final ActiveJob job;
    private Optional<JobPhase> phase = Optional.empty();

    EncodedProgress(ActiveJob job) {
      this.job = job;
    }

    Optional<byte[]> encode() {
      phase = Optional.of(job.phase());
      return Optional.of(JobCodec.encodeProgress(job));
    }

    /**
     * Reports the encoded state to callers from now on; does nothing if a newer change of the job
     * was encoded in place of this one.
     */
    void markStored() {
      phase.ifPresent(job::setStoredPhase);
    }
  }
}
