package org.fescuehook.logic.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.wire.HistorySnapshot;

/**
 * Statistics of ended attempts: ratios of actual to declared run time and resource use by
 * organisation, and failures by worker. Immutable.
 */
public final class History {

  /** A history without any ended attempt. */
  public static final History EMPTY = new History(Map.of(), Map.of());

  private final Map<OrganisationId, OrganisationUse> organisations;
  private final Map<WorkerId, WorkerRecord> workers;

  History(Map<OrganisationId, OrganisationUse> organisations, Map<WorkerId, WorkerRecord> workers) {
    this.organisations = Map.copyOf(organisations);
    this.workers = Map.copyOf(workers);
  }

  /** Restores a history from a snapshot. */
  public static History fromSnapshot(HistorySnapshot snapshot) {
    return HistoryCodec.decode(snapshot);
  }

  /** Returns this history as part of a snapshot; equal histories yield equal snapshots. */
  public HistorySnapshot toSnapshot() {
    return HistoryCodec.encode(new TreeMap<>(organisations), new TreeMap<>(workers));
  }

  /** Returns this history with one more ended attempt. */
  public History afterAttempt(EndedAttempt ended) {
    Map<OrganisationId, OrganisationUse> uses = new HashMap<>(organisations);
    OrganisationId id = ended.job().organisation();
    uses.put(id, afterAttempt(use(id), ended));
    return new History(uses, workersAfter(ended));
  }

  /** Returns this history with a new quarantine of a worker. */
  public History afterQuarantine(WorkerId worker, long untilMillis) {
    Map<WorkerId, WorkerRecord> records = new HashMap<>(workers);
    records.put(worker, record(worker).quarantined(untilMillis));
    return new History(organisations, records);
  }

  OrganisationUse use(OrganisationId organisation) {
    return organisations.getOrDefault(organisation, OrganisationUse.NONE);
  }

  WorkerRecord record(WorkerId worker) {
    return workers.getOrDefault(worker, WorkerRecord.NONE);
  }

  Map<WorkerId, WorkerRecord> workers() {
    return workers;
  }

  private static OrganisationUse afterAttempt(OrganisationUse use, EndedAttempt ended) {
    Job job = ended.job();
    double used = (double) job.shape().accelerators() * ended.ranSeconds();
    OrganisationUse next = use.plusUse(used, ended.endedMillis());
    if (ended.result() != EndedAttempt.Result.FINISHED) {
      return next;
    }
    double total = Math.max(1, ended.keptSeconds() + ended.ranSeconds());
    return next.plusRatio(total / Math.max(1, job.declaredSeconds()));
  }

  private Map<WorkerId, WorkerRecord> workersAfter(EndedAttempt ended) {
    return switch (ended.result()) {
      case FINISHED -> workersAfterFinish(ended);
      case FAILED -> workersAfterFailure(ended);
      case STOPPED -> workers;
    };
  }

  private Map<WorkerId, WorkerRecord> workersAfterFinish(EndedAttempt ended) {
    Map<WorkerId, WorkerRecord> next = new HashMap<>(workers);
    ended.placement().members().forEach(next::remove);
    next.replaceAll(
        (id, r) -> r.hasFailureOf(ended.job().id()) ? r.withConfirmedFailure(ended.job().id()) : r);
    return next;
  }

  private Map<WorkerId, WorkerRecord> workersAfterFailure(EndedAttempt ended) {
    if (ended.blamed().isEmpty()) {
      return workers;
    }
    WorkerId worker = ended.blamed().get();
    Map<WorkerId, WorkerRecord> next = new HashMap<>(workers);
    Job job = ended.job();
    WorkerRecord.Failure failure =
        new WorkerRecord.Failure(
            job.id(), job.organisation(), ended.ranSeconds(), ended.endedMillis(), false);
    next.put(worker, record(worker).plusFailure(failure));
    return next;
  }
}
