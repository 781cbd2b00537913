package org.fescuehook.logic.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.wire.HistorySnapshot;
import org.fescuehook.wire.OrganisationHistory;
import org.fescuehook.wire.WorkerFailure;
import org.fescuehook.wire.WorkerHistory;

/** Converts histories to and from the protobuf messages of snapshots. */
final class HistoryCodec {

  private HistoryCodec() {}

  static HistorySnapshot encode(
      SortedMap<OrganisationId, OrganisationUse> organisations,
      SortedMap<WorkerId, WorkerRecord> workers) {
    HistorySnapshot.Builder snapshot = HistorySnapshot.newBuilder();
    organisations.forEach((id, use) -> snapshot.addOrganisations(encode(id, use)));
    workers.forEach((id, record) -> snapshot.addWorkers(encode(id, record)));
    return snapshot.build();
  }

  static History decode(HistorySnapshot snapshot) {
    Map<OrganisationId, OrganisationUse> organisations = new HashMap<>();
    for (OrganisationHistory o : snapshot.getOrganisationsList()) {
      organisations.put(
          new OrganisationId(o.getOrganisation()),
          new OrganisationUse(o.getAcceleratorSeconds(), o.getAsOfMillis(), o.getRatiosList()));
    }
    Map<WorkerId, WorkerRecord> workers = new HashMap<>();
    for (WorkerHistory w : snapshot.getWorkersList()) {
      workers.put(new WorkerId(w.getWorker()), decode(w));
    }
    return new History(organisations, workers);
  }

  private static OrganisationHistory encode(OrganisationId id, OrganisationUse use) {
    return OrganisationHistory.newBuilder()
        .setOrganisation(id.value())
        .setAcceleratorSeconds(use.acceleratorSeconds())
        .setAsOfMillis(use.asOfMillis())
        .addAllRatios(use.ratios())
        .build();
  }

  private static WorkerHistory encode(WorkerId id, WorkerRecord record) {
    WorkerHistory.Builder worker =
        WorkerHistory.newBuilder()
            .setWorker(id.value())
            .setQuarantines(record.quarantines())
            .setQuarantinedUntilMillis(record.quarantinedUntilMillis());
    record.failures().forEach(f -> worker.addFailures(encode(f)));
    return worker.build();
  }

  private static WorkerFailure encode(WorkerRecord.Failure failure) {
    return WorkerFailure.newBuilder()
        .setJob(failure.job().value())
        .setOrganisation(failure.organisation().value())
        .setRanSeconds(failure.ranSeconds())
        .setAtMillis(failure.atMillis())
        .setConfirmed(failure.confirmed())
        .build();
  }

  private static WorkerRecord decode(WorkerHistory worker) {
    return new WorkerRecord(
        worker.getFailuresList().stream().map(HistoryCodec::decode).toList(),
        worker.getQuarantines(),
        worker.getQuarantinedUntilMillis());
  }

  private static WorkerRecord.Failure decode(WorkerFailure failure) {
    return new WorkerRecord.Failure(
        new JobId(failure.getJob()),
        new OrganisationId(failure.getOrganisation()),
        failure.getRanSeconds(),
        failure.getAtMillis(),
        failure.getConfirmed());
  }
}
