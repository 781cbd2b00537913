package org.fescuehook.logic.batch.state;

import java.util.List;
import java.util.Optional;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.wire.batch.StoredStep;
import org.fescuehook.wire.batch.StoredSubmission;

/** Encodes and decodes submissions, for the store and for calls forwarded between VMs. */
public final class SubmissionCodec {

  private SubmissionCodec() {}

  /** Encodes a submission. */
  public static StoredSubmission encode(Submission submission) {
    StoredSubmission.Builder stored = StoredSubmission.newBuilder().setSpec(submission.spec());
    submission.steps().forEach(step -> stored.addSteps(encode(step)));
    submission
        .schedule()
        .ifPresent(
            schedule ->
                stored
                    .setStartMillis(schedule.startMillis())
                    .setIntervalMillis(schedule.intervalMillis())
                    .setOccurrences(schedule.occurrences()));
    return stored.build();
  }

  private static StoredStep encode(BatchStep step) {
    BatchStep.PlacementRule placement = step.placement();
    Optional<BatchStep.LongRunning> longRunning = step.longRunning();
    return StoredStep.newBuilder()
        .setCount(step.count())
        .setMilliCores(step.demand().milliCores())
        .setMemoryMegabytes(step.demand().memoryMegabytes())
        .setAccelerators(step.demand().accelerators())
        .setEstimateMillis(step.estimateMillis())
        .addAllDependsOn(step.dependsOn())
        .setCheckpointing(step.checkpointing())
        .setGang(step.gang())
        .setSameRack(placement.sameRack())
        .setLabel(placement.label().orElse(""))
        .setAffinityRack(placement.affinity().map(RackId::value).orElse(""))
        .setMostPerExecutor(placement.maxPerExecutor())
        .setImage(step.image())
        .setLasting(longRunning.isPresent())
        .setMissAllowed(longRunning.map(BatchStep.LongRunning::maxUnavailable).orElse(0))
        .setTargetMillis(longRunning.map(BatchStep.LongRunning::targetMillis).orElse(0L))
        .build();
  }

  /** Decodes a submission. */
  public static Submission decode(StoredSubmission stored) {
    List<BatchStep> steps = stored.getStepsList().stream().map(SubmissionCodec::decode).toList();
    Optional<Submission.Schedule> schedule =
        stored.getOccurrences() == 0
            ? Optional.empty()
            : Optional.of(
                new Submission.Schedule(
                    stored.getStartMillis(), stored.getIntervalMillis(), stored.getOccurrences()));
    return new Submission(stored.getSpec(), steps, schedule);
  }

  private static BatchStep decode(StoredStep stored) {
    BatchStep.PlacementRule placement =
        new BatchStep.PlacementRule(
            stored.getSameRack(),
            nonEmpty(stored.getLabel()),
            nonEmpty(stored.getAffinityRack()).map(RackId::new),
            stored.getMostPerExecutor());
    return new BatchStep(
        stored.getCount(),
        new ResourceVector(
            stored.getMilliCores(), stored.getMemoryMegabytes(), stored.getAccelerators()),
        stored.getEstimateMillis(),
        stored.getDependsOnList(),
        placement,
        stored.getCheckpointing(),
        stored.getGang(),
        stored.getImage(),
        longRunning(stored));
  }

  private static Optional<BatchStep.LongRunning> longRunning(StoredStep stored) {
    return stored.getLasting()
        ? Optional.of(new BatchStep.LongRunning(stored.getMissAllowed(), stored.getTargetMillis()))
        : Optional.empty();
  }

  private static Optional<String> nonEmpty(String text) {
    return text.isEmpty() ? Optional.empty() : Optional.of(text);
  }
}
