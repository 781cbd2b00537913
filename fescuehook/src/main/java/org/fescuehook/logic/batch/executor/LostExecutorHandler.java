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
import org.fescuehook.logic.batch.executor.CrashEvaluator.Loss;
import org.fescuehook.logic.batch.state.LiveRun;

/**
 * Handles executors that are lost: reports their runs as lost, and records which addresses
 * executors crashed at.
 */
final class LostExecutorHandler {

  private final ExecutorRegistry registry;
  private final ReportHandler reportHandler;

  /**
   * Times of crashes, monotonic, by the address of the executor, until its next incarnation is
   * listed.
   */
  private final Map<InetSocketAddress, Long> unlistedCrashes = new HashMap<>();

  LostExecutorHandler(ExecutorRegistry registry, ReportHandler reportHandler) {
    this.registry = registry;
    this.reportHandler = reportHandler;
  }

  /** Reports all runs of a lost executor as lost. */
  void loseAll(ExecutorState executor, Loss loss, String cause, BatchContext context) {
    Map<Boolean, List<LiveRun>> byIncarnation =
        byIncarnation(executor, List.copyOf(executor.runs()));
    if (!executor.runs().isEmpty() && !registry.mostAreSilent()) {
      reportHandler.crashed(executor, context);
    }
    loseWithPreviousIncarnation(executor, byIncarnation.get(false), context);
    lose(
        executor,
        CrashEvaluator.LossDetails.of(executor, loss, context),
        byIncarnation.get(true),
        cause,
        context);
  }

  /** Reports runs as lost that an executor should list and does not. */
  void loseUnlisted(ExecutorState executor, List<LiveRun> runs, BatchContext context) {
    Map<Boolean, List<LiveRun>> byIncarnation = byIncarnation(executor, runs);
    loseWithPreviousIncarnation(executor, byIncarnation.get(false), context);
    for (LiveRun run : byIncarnation.get(true)) {
      executor.remove(run);
      reportHandler.reportLost(run, "its executor does not list it", context);
    }
  }

  /**
   * Separates the runs that were placed on the current incarnation of an executor (true) from all
   * others.
   */
  private static Map<Boolean, List<LiveRun>> byIncarnation(
      ExecutorState executor, List<LiveRun> runs) {
    return runs.stream()
        .collect(partitioningBy(run -> !run.incarnation().differsFrom(executor.incarnation())));
  }

  private void loseWithPreviousIncarnation(
      ExecutorState executor, List<LiveRun> runs, BatchContext context) {
    CrashEvaluator.LossDetails restart =
        CrashEvaluator.LossDetails.ofPreviousIncarnation(executor, context);
    lose(executor, restart, runs, "its executor was restarted", context);
  }

  private void lose(
      ExecutorState executor,
      CrashEvaluator.LossDetails loss,
      List<LiveRun> runs,
      String cause,
      BatchContext context) {
    Map<LiveRun, CrashEvidence> evidence = CrashEvaluator.evaluate(loss, runs);
    for (LiveRun run : evidence.keySet()) {
      note(loss, run, evidence.size() - 1, context);
    }
    evidence.forEach(
        (run, ofRun) -> {
          executor.remove(run);
          boolean counts = ofRun != CrashEvidence.NONE && ofRun != CrashEvidence.UNRESOLVED;
          boolean unclear = counts && mayHaveEndedBefore(run);
          CrashEvidence adjusted = unclear ? CrashEvidence.DOUBTFUL : ofRun;
          reportHandler.reportLostWithExecutor(run, adjusted, cause, context);
        });
  }

  /**
   * Tells whether a gang may already have ended before the executor of this member was lost, since
   * an executor of another member does not answer either.
   */
  private boolean mayHaveEndedBefore(LiveRun run) {
    return run.step().spec().gang()
        && run.step().liveRuns().stream()
            .filter(other -> !other.executor().equals(run.executor()))
            .anyMatch(
                other -> registry.find(other.executor()).filter(e -> !e.responsive()).isPresent());
  }

  private static void note(
      CrashEvaluator.LossDetails loss, LiveRun run, int others, BatchContext context) {
    String age =
        run.startOrderedAt().isPresent()
            ? Duration.ofNanos(loss.lostAt() - run.startOrderedAt().getAsLong()).toMillis() + " ms"
            : "unknown";
    String seen = run.seenRunning() ? "seen running" : "never seen running";
    context.note(
        BatchLogEvent.RUN_LOST_WITH_EXECUTOR, run.run(), run.incarnation(), seen, age, others);
  }

  /** Records that an executor has crashed, for the next incarnation listed at its address. */
  void crashed(ExecutorState crashed, BatchContext context) {
    reportHandler.observed(new ExecutorSign.Replaced(crashed.incarnation()), context);
    InetSocketAddress address = crashed.profile().address();
    unlistedCrashes.values().removeIf(at -> LastCrash.stale(at, context.nowNanos()));
    Optional<ExecutorState> next =
        registry.all().stream()
            .filter(executor -> executor.profile().address().equals(address))
            .findFirst();
    next.ifPresentOrElse(
        executor -> {
          executor.restarted(context.nowNanos());
          reportHandler.crashed(executor, context);
        },
        () -> unlistedCrashes.put(address, context.nowNanos()));
  }

  /**
   * Tells an executor that is listed for the first time whether another one crashed at its address
   * before.
   */
  void listed(ExecutorState executor, BatchContext context) {
    Optional.ofNullable(unlistedCrashes.remove(executor.profile().address()))
        .ifPresent(
            crashedAt -> {
              executor.restarted(crashedAt);
              reportHandler.crashed(executor, context);
            });
  }
}
