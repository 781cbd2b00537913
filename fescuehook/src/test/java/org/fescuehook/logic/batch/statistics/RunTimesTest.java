package org.fescuehook.logic.batch.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.junit.jupiter.api.Test;

/** Guards against expected ends that rest on the caller's estimate alone. */
class RunTimesTest {

  private static final long ESTIMATE = 2000;

  private final ReportedRuns reported = new ReportedRuns(true);
  private final ExecutorState executor = ReportedRuns.executor("e", "r");

  private LiveRun runFor(long millis) {
    LiveRun run = reported.startOne("bulk", ESTIMATE, executor);
    reported.pass(millis);
    reported.done(executor, run);
    return run;
  }

  @Test
  void durationsOfAQueueReplaceTheEstimate() {
    LiveRun last = runFor(4000);
    for (int i = 0; i < 30; i++) {
      last = runFor(4000);
    }
    assertEquals(2, reported.runTimes.expectedRatio(last.step()), 0.15);
    LiveRun next = reported.startOne("bulk", ESTIMATE, executor);
    long left = reported.runTimes.expectedLeftMillis(next, reported.nowNanos());
    assertEquals(4000, left, 500);
  }

  @Test
  void estimateCountsUntilSomethingIsKnown() {
    LiveRun run = reported.startOne("bulk", ESTIMATE, executor);
    assertEquals(1, reported.runTimes.expectedRatio(run.step()));
    assertEquals(ESTIMATE, reported.runTimes.expectedLeftMillis(run, reported.nowNanos()));
  }

  /** The median ignores the tail, and a run that is in the tail is expected to stay there. */
  @Test
  void remainingTimeOfARunBeyondItsEstimateGrows() {
    for (int i = 0; i < 66; i++) {
      runFor(i % 33 == 0 ? 7 * ESTIMATE : ESTIMATE);
    }
    LiveRun run = reported.startOne("bulk", ESTIMATE, executor);
    assertEquals(1, reported.runTimes.expectedRatio(run.step()), 0.1);
    long atFirst = reported.runTimes.expectedLeftMillis(run, reported.nowNanos());
    reported.pass(2 * ESTIMATE);
    long beyond = reported.runTimes.expectedLeftMillis(run, reported.nowNanos());
    assertTrue(atFirst < 1.5 * ESTIMATE, () -> "at first " + atFirst);
    assertTrue(beyond > 4 * ESTIMATE, () -> "beyond " + beyond);
    reported.pass(6 * ESTIMATE);
    assertTrue(reported.runTimes.expectedLeftMillis(run, reported.nowNanos()) > 0);
  }

  @Test
  void ownProgressCountsMoreThanTheQueue() {
    for (int i = 0; i < 20; i++) {
      runFor(ESTIMATE);
    }
    LiveRun run = reported.startOne("bulk", ESTIMATE, executor);
    reported.pass(2000);
    reported.report(executor, run, 20);
    assertEquals(8000, reported.runTimes.expectedLeftMillis(run, reported.nowNanos()), 100);
  }
}
