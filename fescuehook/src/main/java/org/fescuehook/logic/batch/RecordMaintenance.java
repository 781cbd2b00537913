package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.Optional;
import org.fescuehook.logic.batch.state.JobCodec;
import org.fescuehook.logic.batch.state.JobRegistry;
import org.fescuehook.logic.batch.statistics.ExecutorSpeeds;
import org.fescuehook.logic.batch.statistics.SpeedRecord;
import org.fescuehook.logic.batch.store.StateWriter;

/** Removes expired records from the job stream, and stores what was learned about executors. */
final class RecordMaintenance {

  private final JobRegistry registry;
  private final ExecutorSpeeds speeds;
  private final StateWriter writer;
  private final Duration retention;

  /**
   * Creates the maintenance of the records of one epoch.
   *
   * @param retention how long the state of an ended job is kept
   */
  RecordMaintenance(
      JobRegistry registry, ExecutorSpeeds speeds, StateWriter writer, Duration retention) {
    this.registry = registry;
    this.speeds = speeds;
    this.writer = writer;
    this.retention = retention;
  }

  /**
   * Performs what is due.
   *
   * @param stopping whether the owner is about to hand over, so that it stores only what it must
   */
  void step(boolean stopping, BatchContext context) {
    registry
        .removeOneExpiredJob(retention, context.nowNanos(), context.wallMillis())
        .ifPresent(id -> writer.put(JobCodec.progressKey(id), Optional::empty, () -> {}));
    registry
        .removeOneExpiredEarlyCancel(retention, context.nowNanos(), context.wallMillis())
        .ifPresent(key -> writer.put(key, Optional::empty, () -> {}));
    if (!stopping) {
      storeSpeeds(context);
    }
  }

  /** Stores the speeds with other changes, so that they cost no append of their own. */
  private void storeSpeeds(BatchContext context) {
    if (writer.idle()) {
      return;
    }
    speeds
        .nextRecord(context.nowNanos())
        .ifPresent(record -> writer.put(SpeedRecord.KEY, () -> Optional.of(record), () -> {}));
  }
}
