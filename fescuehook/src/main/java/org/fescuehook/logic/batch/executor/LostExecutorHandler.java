package org.fescuehook.logic.batch.executor;

import static java.util.stream.Collectors.partitioningBy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.executor.CrashEvaluator.Loss;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.batch.ExecutorProfile;

/** Gives up what ran on executors that are lost, and remembers where executors have crashed. */
final class LostExecutorHandler {

  private final ExecutorRegistry book;
  private final ReportHandler reports;

  /** When executors crashed whose next incarnation is not listed yet, monotonic time. */
  private final Map<InetSocketAddress, Long> crashedAt = new HashMap<>();

  LostExecutorHandler(ExecutorRegistry book, ReportHandler reports) {
    this.book = book;
    this.reports = reports;
  }

  /** Gives up all runs of an executor that is lost. */
  void loseAll(ExecutorState executor, Loss loss, String cause, BatchTurn turn) {
    Map<Boolean, List<LiveRun>> byLife = byLife(executor, List.copyOf(executor.runs()));
    loseWithFormerLife(executor, byLife.get(false), turn);
    lose(
        executor,
        CrashEvaluator.LossDetails.of(executor, loss, turn),
        byLife.get(true),
        cause,
        turn);
  }

  /** Gives up runs that an executor does not list. */
  void loseUnlisted(ExecutorState executor, List<LiveRun> runs, BatchTurn turn) {
    Map<Boolean, List<LiveRun>> byLife = byLife(executor, runs);
    loseWithFormerLife(executor, byLife.get(false), turn);
    for (LiveRun run : byLife.get(true)) {
      executor.remove(run);
      reports.lose(run, "its executor does not list it", turn);
    }
  }

  /** Separates runs that were placed on the present life of an executor from all others. */
  private static Map<Boolean, List<LiveRun>> byLife(ExecutorState executor, List<LiveRun> runs) {
    return runs.stream()
        .collect(partitioningBy(run -> !run.incarnation().differsFrom(executor.incarnation())));
  }

  private void loseWithFormerLife(ExecutorState executor, List<LiveRun> runs, BatchTurn turn) {
    CrashEvaluator.LossDetails restart = CrashEvaluator.LossDetails.ofFormerLife(executor, turn);
    lose(executor, restart, runs, "its executor was restarted", turn);
  }

  private void lose(
      ExecutorState executor,
      CrashEvaluator.LossDetails loss,
      List<LiveRun> runs,
      String cause,
      BatchTurn turn) {
    Map<LiveRun, CrashEvidence> evidence = CrashEvaluator.judge(loss, runs);
    for (LiveRun run : evidence.keySet()) {
      note(loss, run, evidence.size() - 1, turn);
    }
    evidence.forEach(
        (run, against) -> {
          executor.remove(run);
          boolean unclear = against != CrashEvidence.NONE && mayHaveEndedBefore(run);
          CrashEvidence known = unclear ? CrashEvidence.DOUBTFUL : against;
          reports.loseWithExecutor(run, known, cause, turn);
        });
  }

  /**
   * Tells whether the run of a gang may have ended with another member before its executor was
   * lost, as the executor of that one does not answer either.
   */
  private boolean mayHaveEndedBefore(LiveRun run) {
    return run.step().spec().gang()
        && run.step().liveRuns().stream()
            .filter(other -> !other.executor().equals(run.executor()))
            .anyMatch(other -> book.find(other.executor()).filter(e -> !e.calm()).isPresent());
  }

  private static void note(
      CrashEvaluator.LossDetails loss, LiveRun run, int others, BatchTurn turn) {
    String age =
        run.startOrderedAt().isPresent()
            ? Duration.ofNanos(loss.lostAt() - run.startOrderedAt().getAsLong()).toMillis() + " ms"
            : "unknown";
    String seen = run.seenRunning() ? "seen running" : "never seen running";
    turn.note(
        BatchLogEvent.RUN_LOST_WITH_EXECUTOR, run.run(), run.incarnation(), seen, age, others);
  }

  /** Takes in that an executor has crashed: what is listed at its address is a new incarnation. */
  void crashed(ExecutorProfile profile, BatchTurn turn) {
    InetSocketAddress address = profile.address();
    crashedAt.values().removeIf(at -> ExecutorState.longAgo(at, turn.nowNanos()));
    Optional<ExecutorState> next =
        book.all().stream()
            .filter(executor -> executor.profile().address().equals(address))
            .findFirst();
    next.ifPresentOrElse(
        executor -> executor.restarted(turn.nowNanos()),
        () -> crashedAt.put(address, turn.nowNanos()));
  }

  /** Takes in that an executor is listed for the first time. */
  void listed(ExecutorState executor) {
    Optional.ofNullable(crashedAt.remove(executor.profile().address()))
        .ifPresent(executor::restarted);
  }
}
