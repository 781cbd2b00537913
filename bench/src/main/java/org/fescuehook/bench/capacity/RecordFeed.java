package org.fescuehook.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.control.record.RecordCodec;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.wire.AttemptCommitted;
import org.fescuehook.wire.AttemptPlanned;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.JobSubmitted;
import org.fescuehook.wire.OwnerClaim;
import org.fescuehook.wire.Shape;

/** Writes the records by which an owner has started all jobs of a fleet. */
final class RecordFeed {
  private static final String WRITER = "entry-1";

  private final List<LogRecord> records = new ArrayList<>();

  /** Returns the records of a claim and of every job submitted, planned and committed. */
  static List<LogRecord> of(FleetOfSize fleet) {
    RecordFeed feed = new RecordFeed();
    feed.add(ControlRecord.newBuilder().setOwnerClaim(OwnerClaim.getDefaultInstance()), false);
    int worker = 0;
    for (Job job : fleet.jobs()) {
      feed.add(ControlRecord.newBuilder().setJobSubmitted(submitted(job)), false);
      AttemptPlanned.Builder planned =
          AttemptPlanned.newBuilder().setJob(job.id().value()).setAttempt(1).setRule(10);
      AttemptCommitted.Builder committed =
          AttemptCommitted.newBuilder().setJob(job.id().value()).setAttempt(1);
      for (int member = 0; member < job.shape().members(); member++) {
        int at = worker++ % fleet.workers();
        planned.addWorkers("w-" + (1000 + at));
        committed.addLeases("w-" + (1000 + at) + "-lease-" + worker);
      }
      feed.add(ControlRecord.newBuilder().setAttemptPlanned(planned), true);
      feed.add(ControlRecord.newBuilder().setAttemptCommitted(committed), true);
    }
    return feed.records;
  }

  private void add(ControlRecord.Builder record, boolean decision) {
    int offset = records.size();
    record.setVersion(RecordCodec.VERSION).setWriter(WRITER).setIncarnation("a");
    record.setSequence(offset + 1L).setWrittenMillis(offset);
    if (decision) {
      record.setEpochPlusOne(1);
    }
    records.add(new LogRecord(offset, offset, RecordCodec.encode(record.build())));
  }

  private static JobSubmitted submitted(Job job) {
    Shape shape =
        Shape.newBuilder()
            .setMembers(job.shape().members())
            .setAccelerators(job.shape().perMember().accelerators())
            .setCores(job.shape().perMember().cores())
            .setMemoryMegabytes(job.shape().perMember().memoryMegabytes())
            .build();
    return JobSubmitted.newBuilder()
        .setJob(job.id().value())
        .setOrganisation(job.organisation().value())
        .setShape(shape)
        .setCheckpointable(job.checkpointable())
        .setDeclaredSeconds(job.declaredSeconds())
        .setSubmittedMillis(job.submittedMillis())
        .setCommand(job.command())
        .build();
  }
}
