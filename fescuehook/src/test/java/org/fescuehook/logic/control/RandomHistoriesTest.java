package org.fescuehook.logic.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.request.ExecutionStatus;
import org.fescuehook.wire.JobResult;
import org.junit.jupiter.api.Test;

class RandomHistoriesTest {
  private static final int HISTORIES = Integer.getInteger("histories", 200);
  private static final long FIRST_SEED = Long.getLong("seed", 1);
  private static final Set<JobResult> EXPECTED =
      Set.of(JobResult.JOB_RESULT_FINISHED, JobResult.JOB_RESULT_CANCELLED);

  /**
   * Longest time for which a gang may run without all of its members: one lease's time to live
   * until the owner stops renewing, another one until the leases expire, and a margin for the
   * renewal interval and delays.
   */
  private static final Duration PARTIAL_GANG_BOUND =
      ControlPreferences.DEFAULT
          .leaseTtl()
          .multipliedBy(2)
          .plus(ControlPreferences.DEFAULT.renewInterval())
          .plusSeconds(15);

  @Test
  void noRandomHistoryWithFaultsViolatesAnInvariant() {
    long longest = 0;
    long faults = 0;
    long claims = 0;
    long attempts = 0;
    long snapshots = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
      RandomHistory history = new RandomHistory(seed);
      try {
        history.run();
        checkEnd(history);
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + ", faults " + history.faults, e);
      }
      longest = Math.max(longest, history.invariants.longestPartialGangNanos);
      faults += history.faults.size();
      claims += history.invariants.claims;
      attempts += history.invariants.attempts;
      snapshots += startedFromSnapshot(history);
    }
    System.out.printf(
        "%d histories, seeds %d to %d: %d faults, %d claims, %d attempts of %d jobs,"
            + " %d readers started from a snapshot; longest partial gang %d ms%n",
        HISTORIES,
        FIRST_SEED,
        FIRST_SEED + HISTORIES - 1,
        faults,
        claims,
        attempts,
        HISTORIES * RandomHistory.JOBS,
        snapshots,
        longest / VirtualCluster.MILLI);
  }

  private static long startedFromSnapshot(RandomHistory history) {
    return history.cluster.vms.stream()
        .filter(vm -> vm.logEvents.stream().anyMatch(note -> note.startsWith("SNAPSHOT_TAKEN")))
        .count();
  }

  private static void checkEnd(RandomHistory history) {
    VirtualCluster cluster = history.cluster;
    ControlState state = history.invariants.observer();
    assertEquals(0, state.jobs().waitingCount() + state.jobs().liveCount(), "unfinished jobs");
    history.invariants.checkSameState();
    for (VirtualVm vm : cluster.vms) {
      vm.answers.forEach(
          (ticket, answer) -> checkAnswer(history.submissions, ticket, answer, state));
    }
    long boundNanos = PARTIAL_GANG_BOUND.toNanos();
    long longestNanos = history.invariants.longestPartialGangNanos;
    assertTrue(
        longestNanos <= boundNanos,
        () ->
            "gang ran without all of its members for "
                + longestNanos / VirtualCluster.MILLI
                + " ms");
  }

  private static void checkAnswer(
      Map<Long, String> submissions, long ticket, Answer answer, ControlState state) {
    switch (answer) {
      case Answer.Accepted(JobId job) -> {
        JobResult result =
            state.jobs().find(job).orElseThrow().snapshot().getJobEnded().getResult();
        assertTrue(EXPECTED.contains(result), () -> job + " ended as " + result);
      }
      case Answer.Refused refused when submissions.containsKey(ticket) -> {
        Optional<JobId> job =
            state
                .jobs()
                .findByRequest(TestDeclarations.ORGANISATION.value(), submissions.get(ticket));
        boolean truthful =
            refused.reason().executionStatus() != ExecutionStatus.NO || job.isEmpty();
        assertTrue(truthful, () -> "reported as not executed but accepted: " + refused);
      }
      default -> {}
    }
  }
}
