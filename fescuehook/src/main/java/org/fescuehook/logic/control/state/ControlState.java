package org.fescuehook.logic.control.state;

import static org.fescuehook.logic.control.state.FoldResult.COUNTED;
import static org.fescuehook.logic.control.state.FoldResult.DUPLICATE;
import static org.fescuehook.logic.control.state.FoldResult.NOT_APPLICABLE;
import static org.fescuehook.logic.control.state.FoldResult.STALE_EPOCH;

import java.util.Collection;
import java.util.Optional;
import java.util.TreeMap;
import org.fescuehook.logic.scheduling.EndedAttempt;
import org.fescuehook.logic.scheduling.History;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Placement;
import org.fescuehook.wire.AttemptEnded;
import org.fescuehook.wire.AttemptResult;
import org.fescuehook.wire.ConfigurationPublished;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.ControlSnapshot;
import org.fescuehook.wire.SlotShares;
import org.fescuehook.wire.WorkerJudged;

/**
 * The state that results from applying the control stream. Every entry VM that applied the same
 * records holds the same state, because the result depends only on the records, their offsets and
 * the log's clock.
 */
public final class ControlState {

  /** The epoch before the first claim. */
  public static final long NO_EPOCH = -1;

  private static final long MILLIS_PER_SECOND = 1000;

  private final JobRegistry jobs = new JobRegistry();
  private final WriterSequences writers = new WriterSequences();
  private final TreeMap<String, WorkerJudged> quarantines = new TreeMap<>();
  private long epoch = NO_EPOCH;
  private String owner = "";
  private String ownerIncarnation = "";
  private long revision = Configuration.NO_REVISION;
  private ConfigurationPublished configuration = ConfigurationPublished.getDefaultInstance();
  private Optional<SlotShares> shares = Optional.empty();
  private History history = History.EMPTY;

  /** Returns the registry of jobs. */
  public JobRegistry jobs() {
    return jobs;
  }

  /** Returns the epoch in force, which is the offset of its claim. */
  public long epoch() {
    return epoch;
  }

  /** Returns the owner; empty if no VM has claimed ownership or the last owner released it. */
  public Optional<VmId> owner() {
    return Optional.of(owner).filter(name -> !name.isEmpty()).map(VmId::new);
  }

  /** Returns whether this incarnation of a VM is the owner. */
  public boolean ownedBy(VmId vm, String incarnation) {
    return owner.equals(vm.value()) && ownerIncarnation.equals(incarnation);
  }

  /** Returns the revision of the configuration in force. */
  public long revision() {
    return revision;
  }

  /** Returns the configuration in force; the default instance before the first publication. */
  public ConfigurationPublished configuration() {
    return configuration;
  }

  /** Returns the quarantines of workers. */
  public Collection<WorkerJudged> quarantines() {
    return quarantines.values();
  }

  /** Returns the statistics learned from ended attempts. */
  public History history() {
    return history;
  }

  /** Returns the most recently published shares of executors' slots. */
  public Optional<SlotShares> shares() {
    return shares;
  }

  /** Returns whether a record is a decision under the epoch in force. */
  public boolean inForce(ControlRecord record) {
    return epoch != NO_EPOCH && record.getEpochPlusOne() == epoch + 1;
  }

  /**
   * Applies one record. Records must be applied in the order of their offsets. Implements {@code
   * Counts} and {@code After} of the modules Ownership and Configuration.
   *
   * @param millis time of the append according to the log's clock
   */
  public FoldResult fold(ControlRecord record, long offset, long millis) {
    if (!writers.accept(record, offset)) {
      return DUPLICATE;
    }
    return switch (record.getBodyCase()) {
      case OWNER_CLAIM -> claim(record, offset);
      case CONFIGURATION_PUBLISHED -> publish(record.getConfigurationPublished(), offset);
      case JOB_SUBMITTED -> jobs.submit(record.getJobSubmitted(), offset);
      case JOB_CANCEL_REQUESTED -> jobs.requestCancel(record.getJobCancelRequested());
      default -> inForce(record) ? foldDecision(record, offset, millis) : STALE_EPOCH;
    };
  }

  /**
   * Applies a claim. The first claim in the log that is based on the epoch in force starts a new
   * epoch; later ones are stale. Implements the action {@code Land} of the module Ownership for
   * claims.
   */
  private FoldResult claim(ControlRecord record, long offset) {
    if (record.getOwnerClaim().getBasedOnEpochPlusOne() != epoch + 1) {
      return STALE_EPOCH;
    }
    epoch = offset;
    owner = record.getWriter();
    ownerIncarnation = record.getIncarnation();
    return COUNTED;
  }

  private FoldResult publish(ConfigurationPublished published, long offset) {
    if (published.getBaseRevisionPlusOne() != revision + 1) {
      return NOT_APPLICABLE;
    }
    revision = offset;
    configuration = published;
    return COUNTED;
  }

  private FoldResult foldDecision(ControlRecord record, long offset, long millis) {
    return switch (record.getBodyCase()) {
      case OWNER_HEARTBEAT, SNAPSHOT_PART -> COUNTED;
      case OWNER_RELEASE -> release(record);
      case ATTEMPT_PLANNED -> jobs.plan(record.getAttemptPlanned(), epoch, offset, millis);
      case ATTEMPT_COMMITTED -> jobs.commit(record.getAttemptCommitted(), epoch, millis);
      case ATTEMPT_STOPPING -> jobs.stop(record.getAttemptStopping());
      case ATTEMPT_ENDED -> endAttempt(record.getAttemptEnded(), millis);
      case JOB_ENDED -> jobs.endJob(record.getJobEnded(), offset, millis);
      case WORKER_JUDGED -> quarantine(record.getWorkerJudged());
      case SLOT_SHARES -> share(record.getSlotShares());
      default -> NOT_APPLICABLE;
    };
  }

  private FoldResult endAttempt(AttemptEnded end, long millis) {
    FoldResult result = jobs.endAttempt(end, millis);
    if (result == COUNTED && end.getResult() != AttemptResult.ATTEMPT_RESULT_NEVER_STARTED) {
      jobs.find(new JobId(end.getJob())).ifPresent(job -> updateHistory(job, end, millis));
    }
    return result;
  }

  private void updateHistory(JobState job, AttemptEnded end, long millis) {
    long ran = Math.max(0, millis - job.snapshot().getCommittedMillis()) / MILLIS_PER_SECOND;
    long kept = job.snapshot().getKeptSeconds() - (end.getCheckpointed() ? ran : 0);
    Optional<WorkerId> blamed =
        Optional.of(end.getWorker()).filter(worker -> !worker.isBlank()).map(WorkerId::new);
    EndedAttempt.Result result =
        switch (end.getResult()) {
          case ATTEMPT_RESULT_FINISHED -> EndedAttempt.Result.FINISHED;
          case ATTEMPT_RESULT_FAILED -> EndedAttempt.Result.FAILED;
          default -> EndedAttempt.Result.STOPPED;
        };
    Placement placement = new Placement(job.workers());
    history =
        history.afterAttempt(
            new EndedAttempt(job.job(), placement, ran, kept, result, blamed, millis));
  }

  private FoldResult release(ControlRecord record) {
    if (!record.getWriter().equals(owner)) {
      return NOT_APPLICABLE;
    }
    owner = "";
    ownerIncarnation = "";
    return COUNTED;
  }

  private FoldResult quarantine(WorkerJudged judged) {
    if (judged.getWorker().isBlank()) {
      return NOT_APPLICABLE;
    }
    if (judged.getQuarantined()) {
      quarantines.put(judged.getWorker(), judged);
      WorkerId worker = new WorkerId(judged.getWorker());
      history = history.afterQuarantine(worker, judged.getUntilMillis());
    } else {
      quarantines.remove(judged.getWorker());
    }
    return COUNTED;
  }

  private FoldResult share(SlotShares published) {
    shares = Optional.of(published);
    return COUNTED;
  }

  /** Returns the whole state as a snapshot. Equal states give equal messages. */
  public ControlSnapshot snapshot() {
    ControlSnapshot.Builder snapshot =
        ControlSnapshot.newBuilder()
            .setEpochPlusOne(epoch + 1)
            .setOwner(owner)
            .setOwnerIncarnation(ownerIncarnation)
            .setRevisionPlusOne(revision + 1)
            .setConfigurationBasePlusOne(configuration.getBaseRevisionPlusOne())
            .setConfiguration(configuration)
            .addAllJobs(jobs.snapshots())
            .addAllWorkers(quarantines.values())
            .addAllWriters(writers.sequences())
            .setHistory(history.toSnapshot());
    shares.ifPresent(snapshot::setSlotShares);
    return snapshot.build();
  }

  /** Restores a state from a snapshot. */
  public static ControlState restore(ControlSnapshot snapshot) {
    ControlState state = new ControlState();
    state.epoch = snapshot.getEpochPlusOne() - 1;
    state.owner = snapshot.getOwner();
    state.ownerIncarnation = snapshot.getOwnerIncarnation();
    state.revision = snapshot.getRevisionPlusOne() - 1;
    state.configuration = snapshot.getConfiguration();
    state.jobs.restore(snapshot.getJobsList());
    state.writers.restore(snapshot.getWritersList());
    state.history = History.fromSnapshot(snapshot.getHistory());
    if (snapshot.hasSlotShares()) {
      state.shares = Optional.of(snapshot.getSlotShares());
    }
    for (WorkerJudged judged : snapshot.getWorkersList()) {
      state.quarantines.put(judged.getWorker(), judged);
    }
    return state;
  }
}
