package org.fescuehook.logic.control.state;

import static org.fescuehook.logic.control.state.FoldResult.COUNTED;
import static org.fescuehook.logic.control.state.FoldResult.DUPLICATE;
import static org.fescuehook.logic.control.state.FoldResult.NOT_APPLICABLE;
import static org.fescuehook.logic.control.state.FoldResult.STALE_EPOCH;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.fescuehook.model.job.JobId;
import org.fescuehook.wire.AttemptCommitted;
import org.fescuehook.wire.AttemptEnded;
import org.fescuehook.wire.AttemptPlanned;
import org.fescuehook.wire.AttemptResult;
import org.fescuehook.wire.ConfigurationPublished;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.JobEnded;
import org.fescuehook.wire.JobSubmitted;
import org.fescuehook.wire.OwnerClaim;
import org.fescuehook.wire.Shape;
import org.junit.jupiter.api.Test;

class ControlStateTest {
  private final ControlState state = new ControlState();
  private long offset;
  private long sequence;

  private FoldResult fold(ControlRecord.Builder record) {
    sequence++;
    return fold(record, sequence);
  }

  private FoldResult fold(ControlRecord.Builder record, long ownSequence) {
    ControlRecord complete =
        record.setWriter("vm").setIncarnation("i").setSequence(ownSequence).setVersion(1).build();
    FoldResult result = state.fold(complete, offset, offset * 1000);
    offset++;
    return result;
  }

  private FoldResult decide(ControlRecord.Builder record) {
    return fold(record.setEpochPlusOne(state.epoch() + 1));
  }

  private FoldResult claim(long base) {
    OwnerClaim claim = OwnerClaim.newBuilder().setBasedOnEpochPlusOne(base + 1).build();
    return fold(ControlRecord.newBuilder().setOwnerClaim(claim));
  }

  private static ControlRecord.Builder submission(String job, String requestId) {
    return ControlRecord.newBuilder()
        .setJobSubmitted(
            JobSubmitted.newBuilder()
                .setJob(job)
                .setOrganisation("lab")
                .setRequestId(requestId)
                .setShape(Shape.newBuilder().setMembers(2)));
  }

  private static ControlRecord.Builder plan(int attempt) {
    return ControlRecord.newBuilder()
        .setAttemptPlanned(
            AttemptPlanned.newBuilder()
                .setJob("job")
                .setAttempt(attempt)
                .addAllWorkers(List.of("a", "b")));
  }

  private static ControlRecord.Builder commit() {
    return ControlRecord.newBuilder()
        .setAttemptCommitted(
            AttemptCommitted.newBuilder()
                .setJob("job")
                .setAttempt(1)
                .addAllLeases(List.of("1", "2")));
  }

  private static ControlRecord.Builder end(AttemptResult result) {
    return ControlRecord.newBuilder()
        .setAttemptEnded(AttemptEnded.newBuilder().setJob("job").setAttempt(1).setResult(result));
  }

  private void planned() {
    claim(-1);
    fold(submission("job", ""));
    assertEquals(COUNTED, decide(plan(1)));
  }

  @Test
  void theFirstClaimBasedOnAnEpochReplacesItAndTheSecondIsStale() {
    assertEquals(COUNTED, claim(-1));
    assertEquals(STALE_EPOCH, claim(-1));
    assertEquals(0, state.epoch());
    assertEquals(COUNTED, claim(0));
    assertEquals(2, state.epoch());
  }

  @Test
  void aDecisionUnderAnOldEpochIsStale() {
    planned();
    ControlRecord.Builder late = commit().setEpochPlusOne(state.epoch() + 1);
    claim(state.epoch());
    assertEquals(STALE_EPOCH, fold(late));
  }

  @Test
  void anAttemptIsCommittedOnlyUnderTheEpochOfItsPlan() {
    planned();
    claim(state.epoch());
    assertEquals(NOT_APPLICABLE, decide(commit()));
  }

  @Test
  void aCommittedAttemptCannotEndAsNeverStarted() {
    planned();
    assertEquals(COUNTED, decide(commit()));
    assertEquals(NOT_APPLICABLE, decide(end(AttemptResult.ATTEMPT_RESULT_NEVER_STARTED)));
    assertEquals(NOT_APPLICABLE, decide(plan(2)));
    assertEquals(COUNTED, decide(end(AttemptResult.ATTEMPT_RESULT_FINISHED)));
  }

  @Test
  void anAttemptThatWasNotCommittedCanOnlyEndAsNeverStartedAndThenNotCommit() {
    planned();
    assertEquals(NOT_APPLICABLE, decide(end(AttemptResult.ATTEMPT_RESULT_FINISHED)));
    assertEquals(COUNTED, decide(end(AttemptResult.ATTEMPT_RESULT_NEVER_STARTED)));
    assertEquals(NOT_APPLICABLE, decide(commit()));
  }

  @Test
  void aJobWithALiveAttemptIsNeitherPlannedAgainNorEnded() {
    planned();
    assertEquals(NOT_APPLICABLE, decide(plan(2)));
    JobEnded ended = JobEnded.newBuilder().setJob("job").build();
    assertEquals(NOT_APPLICABLE, decide(ControlRecord.newBuilder().setJobEnded(ended)));
  }

  @Test
  void aRepeatedOrOutOfOrderSequenceNumberIsDropped() {
    fold(submission("a", ""), 5);
    assertEquals(DUPLICATE, fold(submission("b", ""), 5));
    assertEquals(DUPLICATE, fold(submission("c", ""), 4));
    assertTrue(state.jobs().find(new JobId("c")).isEmpty());
  }

  @Test
  void aSecondSubmissionUnderTheSameRequestIdHasNoEffect() {
    assertEquals(COUNTED, fold(submission("first", "id")));
    assertEquals(NOT_APPLICABLE, fold(submission("second", "id")));
    assertEquals("first", state.jobs().findByRequest("lab", "id").orElseThrow().value());
  }

  @Test
  void aPublicationTakesEffectOnlyIfBasedOnTheRevisionInForce() {
    ConfigurationPublished first = ConfigurationPublished.getDefaultInstance();
    assertEquals(COUNTED, fold(ControlRecord.newBuilder().setConfigurationPublished(first)));
    assertEquals(NOT_APPLICABLE, fold(ControlRecord.newBuilder().setConfigurationPublished(first)));
    assertEquals(0, state.revision());
  }

  @Test
  void anEndedJobIsRemovedAfterADay() {
    claim(-1);
    fold(submission("old", "id"));
    JobEnded ended = JobEnded.newBuilder().setJob("old").build();
    decide(ControlRecord.newBuilder().setJobEnded(ended));
    fold(submission("new", ""));
    offset += JobRegistry.ENDED_RETENTION_MILLIS / 1000 + 1;
    decide(ControlRecord.newBuilder().setJobEnded(ended.toBuilder().setJob("new")));
    assertTrue(state.jobs().find(new JobId("old")).isEmpty());
    assertEquals(COUNTED, fold(submission("again", "id")));
  }

  @Test
  void aStateRestoredFromItsSnapshotIsEqual() {
    planned();
    decide(commit());
    fold(submission("other", "id"));
    assertEquals(state.snapshot(), ControlState.restore(state.snapshot()).snapshot());
  }
}
