package org.fescuehook.logic.batch.state;

import java.util.Optional;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.model.batch.JobPhase;

/** Keeps the records of jobs in the store as the book has them. */
final class JobRecords {

  private final JobRegistry book;
  private final StateWriter writer;

  JobRecords(JobRegistry book, StateWriter writer) {
    this.book = book;
    this.writer = writer;
  }

  /** Stores how far a job is. */
  void persist(ActiveJob job, Runnable committed) {
    Encoded encoded = new Encoded(job);
    writer.put(
        JobCodec.progressKey(job.job().id()),
        encoded::encode,
        () -> {
          encoded.show();
          committed.run();
        });
  }

  /** Calls back once the newest progress of a job is stored. */
  void whenStored(ActiveJob job, Runnable committed) {
    writer.whenStored(JobCodec.progressKey(job.job().id()), committed);
  }

  /**
   * Stores the end of a job. While something of it may run, the store names that, so that an owner
   * that comes meanwhile knows what it has to stop.
   */
  void end(ActiveJob job, Runnable committed, BatchContext context) {
    String id = job.job().id();
    boolean gone = job.liveRuns().isEmpty();
    persist(
        job,
        () -> {
          if (gone) {
            book.retire(job, context.nowNanos());
          }
          committed.run();
        });
    if (!gone) {
      byte[] stored = JobCodec.encode(job.job());
      writer.put(JobCodec.endedJobKey(id), () -> Optional.of(stored), () -> {});
    }
    writer.put(JobCodec.jobKey(id), Optional::empty, () -> {});
  }

  /** Retires a job that has ended once nothing of it can run any more. */
  void retireIfGone(ActiveJob job, BatchContext context) {
    if (job.open() || !job.liveRuns().isEmpty()) {
      return;
    }
    String id = job.job().id();
    persist(job, () -> book.retire(job, context.nowNanos()));
    writer.put(JobCodec.jobKey(id), Optional::empty, () -> {});
    writer.put(JobCodec.endedJobKey(id), Optional::empty, () -> {});
  }

  /** Remembers the cancel of a job that is not known, as its submission may still come. */
  void cancelEarly(String id, Runnable committed, BatchContext context) {
    JobRegistry.EndedJob cancelled =
        new JobRegistry.EndedJob(JobPhase.CANCELLED, context.wallMillis());
    book.addEarlyCancel(id, cancelled, context.nowNanos());
    byte[] stored = JobCodec.encodeEnd(cancelled);
    writer.put(JobCodec.earlyCancelKey(id), () -> Optional.of(stored), committed);
  }

  /**
   * What of a job goes out with an append. The job may have changed again when that is stored, and
   * nobody may be shown what no store has.
   */
  private static final class Encoded {
    private final ActiveJob job;
    private Optional<JobPhase> phase = Optional.empty();

    Encoded(ActiveJob job) {
      this.job = job;
    }

    Optional<byte[]> encode() {
      phase = Optional.of(job.phase());
      return Optional.of(JobCodec.encodeProgress(job));
    }

    /** Shows what was encoded; nothing if a newer change of the job went out in its place. */
    void show() {
      phase.ifPresent(job::show);
    }
  }
}
