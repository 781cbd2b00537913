package org.fescuehook.logic.batch.executor;

import static java.util.stream.Collectors.partitioningBy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.CrashJudge.Loss;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.batch.ExecutorProfile;

/** Gives up what ran on executors that are lost, and remembers where executors have crashed. */
final class LostExecutors {

  private final ExecutorBook book;
  private final ReportReader reports;

  /** When executors crashed whose next incarnation is not listed yet, monotonic time. */
  private final Map<InetSocketAddress, Long> crashedAt = new HashMap<>();

  LostExecutors(ExecutorBook book, ReportReader reports) {
    this.book = book;
    this.reports = reports;
  }

  /** Gives up all runs of an executor that is lost. */
  void loseAll(ExecutorState executor, Loss loss, String cause, BatchContext context) {
    Map<Boolean, List<LiveRun>> byLife = byLife(executor, List.copyOf(executor.runs()));
    loseWithFormerLife(executor, byLife.get(false), context);
    lose(executor, CrashJudge.Case.of(executor, loss, context), byLife.get(true), cause, context);
  }

  /** Gives up runs that an executor does not list. */
  void loseUnlisted(ExecutorState executor, List<LiveRun> runs, BatchContext context) {
    Map<Boolean, List<LiveRun>> byLife = byLife(executor, runs);
    loseWithFormerLife(executor, byLife.get(false), context);
    for (LiveRun run : byLife.get(true)) {
      executor.remove(run);
      reports.lose(run, "its executor does not list it", context);
    }
  }

  /** Separates runs that were placed on the present life of an executor from all others. */
  private static Map<Boolean, List<LiveRun>> byLife(ExecutorState executor, List<LiveRun> runs) {
    return runs.stream()
        .collect(partitioningBy(run -> !run.incarnation().differsFrom(executor.incarnation())));
  }

  private void loseWithFormerLife(
      ExecutorState executor, List<LiveRun> runs, BatchContext context) {
    CrashJudge.Case restart = CrashJudge.Case.ofFormerLife(executor, context);
    lose(executor, restart, runs, "its executor was restarted", context);
  }

  private void lose(
      ExecutorState executor,
      CrashJudge.Case loss,
      List<LiveRun> runs,
      String cause,
      BatchContext context) {
    Map<LiveRun, CrashEvidence> evidence = CrashJudge.judge(loss, runs);
    for (LiveRun run : evidence.keySet()) {
      note(loss, run, evidence.size() - 1, context);
    }
    evidence.forEach(
        (run, against) -> {
          executor.remove(run);
          boolean unclear = against != CrashEvidence.NONE && mayHaveEndedBefore(run);
          CrashEvidence known = unclear ? CrashEvidence.DOUBTFUL : against;
          reports.loseWithExecutor(run, known, cause, context);
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

  private static void note(CrashJudge.Case loss, LiveRun run, int others, BatchContext context) {
    String age =
        run.startOrderedAt().isPresent()
            ? Duration.ofNanos(loss.lostAt() - run.startOrderedAt().getAsLong()).toMillis() + " ms"
            : "unknown";
    String seen = run.seenRunning() ? "seen running" : "never seen running";
    context.note(
        BatchLogEvent.RUN_LOST_WITH_EXECUTOR, run.run(), run.incarnation(), seen, age, others);
  }

  /** Takes in that an executor has crashed: what is listed at its address is a new incarnation. */
  void crashed(ExecutorProfile profile, BatchContext context) {
    InetSocketAddress address = profile.address();
    crashedAt.values().removeIf(at -> ExecutorState.longAgo(at, context.nowNanos()));
    Optional<ExecutorState> next =
        book.all().stream()
            .filter(executor -> executor.profile().address().equals(address))
            .findFirst();
    next.ifPresentOrElse(
        executor -> executor.restarted(context.nowNanos()),
        () -> crashedAt.put(address, context.nowNanos()));
  }

  /** Takes in that an executor is listed for the first time. */
  void listed(ExecutorState executor) {
    Optional.ofNullable(crashedAt.remove(executor.profile().address()))
        .ifPresent(executor::restarted);
  }
}
