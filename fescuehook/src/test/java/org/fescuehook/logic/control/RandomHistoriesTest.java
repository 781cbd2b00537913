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

  /** Two silences of a lease: until the owner stops renewing, and until the lease lapses. */
  private static final Duration PART_BOUND =
      ControlPreferences.DEFAULT
          .leaseTtl()
          .multipliedBy(2)
          .plus(ControlPreferences.DEFAULT.renewInterval())
          .plusSeconds(15);

  @Test
  void noHistoryWithPairsOfFaultsBreaksAPromise() {
    long longest = 0;
    long faults = 0;
    long claims = 0;
    long attempts = 0;
    long snapshots = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + HISTORIES; seed++) {
      RandomHistory history = new RandomHistory(seed);
      try {
        history.play();
        checkEnd(history);
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + ", faults " + history.faults, e);
      }
      longest = Math.max(longest, history.invariants.longestPartNanos);
      faults += history.faults.size();
      claims += history.invariants.claims;
      attempts += history.invariants.attempts;
      snapshots += begunFromSnapshot(history);
    }
    System.out.printf(
        "%d histories, seeds %d to %d: %d faults, %d claims, %d attempts of %d jobs,"
            + " %d readers begun from a snapshot; longest part gang %d ms%n",
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

  private static long begunFromSnapshot(RandomHistory history) {
    return history.cluster.vms.stream()
        .filter(vm -> vm.notes.stream().anyMatch(note -> note.startsWith("SNAPSHOT_TAKEN")))
        .count();
  }

  private static void checkEnd(RandomHistory history) {
    VirtualCluster cluster = history.cluster;
    ControlState state = history.invariants.observer();
    assertEquals(0, state.jobs().waitingCount() + state.jobs().liveCount(), "jobs left over");
    history.invariants.checkSameState();
    for (VirtualVm vm : cluster.vms) {
      vm.answers.forEach(
          (ticket, answer) -> checkAnswer(history.submissions, ticket, answer, state));
    }
    long bound = PART_BOUND.toNanos();
    long part = history.invariants.longestPartNanos;
    assertTrue(part <= bound, () -> "gang ran in part for " + part / VirtualCluster.MILLI + " ms");
  }

  private static void checkAnswer(
      Map<Long, String> submissions, long ticket, Answer answer, ControlState state) {
    switch (answer) {
      case Answer.Accepted(JobId job) -> {
        JobResult result = state.jobs().find(job).orElseThrow().facts().getJobEnded().getResult();
        assertTrue(EXPECTED.contains(result), () -> job + " ended as " + result);
      }
      case Answer.Refused refused when submissions.containsKey(ticket) -> {
        Optional<JobId> job =
            state
                .jobs()
                .findByRequest(TestDeclarations.ORGANISATION.value(), submissions.get(ticket));
        boolean truthful = refused.reason().ran() != ExecutionStatus.NO || job.isEmpty();
        assertTrue(truthful, () -> "said not run but accepted: " + refused);
      }
      default -> {}
    }
  }
}
