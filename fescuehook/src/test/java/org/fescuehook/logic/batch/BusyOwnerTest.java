package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.Submission;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that falls behind its events and never catches up, as seen on a third of
 * a core with 65 open jobs: each event that changed something was followed by a plan, and a plan
 * takes longer the more tasks are waiting. An owner that was behind spent its time on plans that
 * the next event made obsolete.
 */
class BusyOwnerTest {

  private static final long WALL = 1_700_000_000_000L;

  private final BatchCluster cluster = new BatchCluster(1, 8, 1);
  private BatchCore core;
  private long nowMillis;
  private int jobs;

  @BeforeEach
  void awaitOwner() {
    cluster.awaitOwner();
    cluster.run(500);
    core = cluster.owner().orElseThrow().core;
    nowMillis = cluster.nowMillis() + 1;
    apply(new BatchEvent.Tick(), false);
  }

  private List<BatchCommand> apply(BatchEvent event, boolean moreQueued) {
    return core.apply(event, Duration.ofMillis(nowMillis).toNanos(), WALL + nowMillis, moreQueued);
  }

  /** Submits a job that becomes due after a while. */
  private void dueIn(long millis) {
    Submission.Schedule once = new Submission.Schedule(WALL + nowMillis + millis, 1000, 1);
    accept(new Submission("spec", List.of(Jobs.tasks(1, 1, 60_000)), Optional.of(once)), false);
  }

  /** Submits a job and returns the commands that follow from that until it is stored. */
  private List<BatchCommand> accept(boolean moreQueued) {
    return accept(Jobs.of(Jobs.tasks(1, 1, 60_000)), moreQueued);
  }

  private List<BatchCommand> accept(Submission submission, boolean moreQueued) {
    jobs++;
    BatchCall call =
        new BatchCall.Submit(
            BatchCluster.NORMAL, BatchCluster.KEY, "%016x".formatted(jobs), submission);
    List<BatchCommand> submitted =
        apply(new BatchEvent.Called(1, call, BatchCluster.CALLER_TIMEOUT), moreQueued);
    List<BatchCommand> all = new ArrayList<>(submitted);
    for (List<BatchCommand> next = submitted; append(next).isPresent(); ) {
      next = store(next, moreQueued);
      all.addAll(next);
    }
    return all;
  }

  private List<BatchCommand> store(List<BatchCommand> commands, boolean moreQueued) {
    BatchCommand.Append append = append(commands).orElseThrow();
    AppendOutcome stored = new AppendOutcome.Stored(1);
    return apply(new BatchEvent.Appended(append.stream(), append.position(), stored), moreQueued);
  }

  private static Optional<BatchCommand.Append> append(List<BatchCommand> commands) {
    return commands.stream()
        .filter(BatchCommand.Append.class::isInstance)
        .map(BatchCommand.Append.class::cast)
        .filter(sent -> sent.stream() == StreamName.STATE)
        .findFirst();
  }

  private static long placed(List<BatchCommand> commands) {
    return commands.stream()
        .filter(BatchCommand.Note.class::isInstance)
        .map(BatchCommand.Note.class::cast)
        .filter(note -> note.event() == BatchLogEvent.RUN_PLACED)
        .count();
  }

  @Test
  void planningWaitsForEventsThatAreAlreadyQueued() {
    assertEquals(1, placed(accept(true)));
    assertEquals(0, placed(accept(true)));
    assertEquals(1, placed(apply(new BatchEvent.Tick(), false)));
  }

  @Test
  void anOwnerThatIsNotBehindPlansAtOnce() {
    assertEquals(1, placed(accept(false)));
    assertEquals(1, placed(accept(false)));
  }

  @Test
  void anOwnerThatStaysBehindStillPlans() {
    assertEquals(1, placed(accept(true)));
    assertEquals(0, placed(accept(true)));
    nowMillis += 60;
    assertEquals(1, placed(apply(new BatchEvent.Tick(), true)));
  }

  /** Executors write their list entries every second or two, mostly unchanged. */
  @Test
  void anUnchangedListEntryCausesNoPlan() {
    ExecutorProfile entry = cluster.executors.values().iterator().next().profile();
    dueIn(100);
    apply(new BatchEvent.Tick(), false);
    nowMillis += 150;
    assertEquals(0, placed(apply(new BatchEvent.ExecutorSeen(entry), false)));
    ExecutorProfile leaving = TestFixtures.leaving(entry, 5000);
    assertEquals(1, placed(apply(new BatchEvent.ExecutorSeen(leaving), false)));
  }
}
