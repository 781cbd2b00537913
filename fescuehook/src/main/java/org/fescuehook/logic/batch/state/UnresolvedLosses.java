package org.fescuehook.logic.batch.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.ExecutorSign;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;

/**
 * Finds out what became of executors that were lost without a sign of a crash, and corrects the
 * records of the tasks that ran there.
 */
final class UnresolvedLosses {

  /**
   * Age of a loss from which on a new entry of the executor shows that it has not crashed. Entries
   * are removed after three intervals of 1.5 s without a heartbeat.
   */
  private static final long ENTRY_LIFE_NANOS = Duration.ofSeconds(10).toNanos();

  /**
   * Time without an entry after which an executor is taken for crashed. Entries that expire while
   * the store is unavailable are back within 2 s.
   */
  private static final long GONE_NANOS = Duration.ofSeconds(5).toNanos();

  private static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

  private final Map<ExecutorId, LostExecutor> executors = new HashMap<>();
  private long nextCheckAt;

  /** A task that ran on a lost executor. */
  record LostTask(StepProgress step, TaskProgress task) {

    private boolean open() {
      return step.job().open() && !step.done();
    }
  }

  /** An executor that was lost and of which it is not certain that it crashed. */
  private static final class LostExecutor {
    private final Set<LostTask> tasks = new LinkedHashSet<>();
    private long lostAt;
    private OptionalLong unlistedSince = OptionalLong.empty();
    private boolean presumedCrashed;
  }

  /** Begins with the losses that a former owner has stored. */
  UnresolvedLosses(Collection<ActiveJob> jobs, long nowNanos) {
    nextCheckAt = nowNanos;
    for (ActiveJob job : jobs) {
      for (StepProgress step : job.steps()) {
        step.tasks().stream()
            .filter(task -> !task.crashes().losses().isEmpty())
            .forEach(task -> add(step, task, nowNanos));
      }
    }
  }

  /** Adds the lost executors of a task that may turn out not to have crashed. */
  void add(StepProgress step, TaskProgress task, long nowNanos) {
    for (ExecutorId id : task.crashes().executorsThatMayReturn()) {
      LostExecutor executor = executors.computeIfAbsent(id, key -> new LostExecutor());
      executor.tasks.add(new LostTask(step, task));
      executor.lostAt = nowNanos;
      executor.presumedCrashed = false;
    }
  }

  /**
   * Corrects records by what shows whether an executor has crashed.
   *
   * @return the tasks whose records have changed
   */
  List<LostTask> observed(ExecutorSign sign, BatchContext context) {
    LostExecutor executor = executors.get(sign.id());
    if (executor == null) {
      return List.of();
    }
    Incarnation incarnation = sign.incarnation();
    return switch (sign) {
      case ExecutorSign.Answered _ -> {
        List<LostTask> survived = update(executor, crashes -> crashes.withoutLossesOf(incarnation));
        note(incarnation, "survived", survived, context);
        List<LostTask> crashed =
            update(executor, crashes -> crashes.withCrashesBefore(incarnation));
        note(incarnation, "crashed", crashed, context);
        executors.remove(sign.id());
        yield join(survived, crashed);
      }
      case ExecutorSign.Replaced _ -> {
        List<LostTask> crashed = update(executor, crashes -> crashes.withCrashOf(incarnation));
        note(incarnation, "crashed", crashed, context);
        yield crashed;
      }
      case ExecutorSign.Listed _ -> {
        executor.unlistedSince = OptionalLong.empty();
        if (context.nowNanos() - executor.lostAt < ENTRY_LIFE_NANOS) {
          yield List.of();
        }
        List<LostTask> survived = update(executor, crashes -> crashes.withoutLossesOf(incarnation));
        note(incarnation, "survived", survived, context);
        yield survived;
      }
    };
  }

  /**
   * Takes executors for crashed that have not been listed for some time.
   *
   * @param listed tells whether an executor is listed
   * @return the tasks whose records have changed
   */
  List<LostTask> expire(Predicate<ExecutorId> listed, BatchContext context) {
    if (executors.isEmpty() || context.nowNanos() - nextCheckAt < 0) {
      return List.of();
    }
    nextCheckAt = context.nowNanos() + CHECK_INTERVAL_NANOS;
    List<LostTask> changed = new ArrayList<>();
    executors.forEach(
        (id, executor) -> {
          executor.tasks.removeIf(lost -> !lost.open());
          if (listed.test(id)) {
            executor.unlistedSince = OptionalLong.empty();
          } else if (executor.unlistedSince.isEmpty()) {
            executor.unlistedSince = OptionalLong.of(context.nowNanos());
          } else if (!executor.presumedCrashed
              && context.nowNanos() - executor.unlistedSince.getAsLong() >= GONE_NANOS) {
            executor.presumedCrashed = true;
            List<LostTask> gone = update(executor, crashes -> crashes.withPresumedCrashOf(id));
            note(Incarnation.ofUnknownStart(id), "gone", gone, context);
            changed.addAll(gone);
          }
        });
    executors.values().removeIf(executor -> executor.tasks.isEmpty());
    return changed;
  }

  private static List<LostTask> update(LostExecutor executor, UnaryOperator<CrashRecord> change) {
    return executor.tasks.stream()
        .filter(LostTask::open)
        .filter(lost -> lost.task().updateCrashes(change))
        .toList();
  }

  private static List<LostTask> join(List<LostTask> some, List<LostTask> others) {
    Set<LostTask> all = new LinkedHashSet<>(some);
    all.addAll(others);
    return List.copyOf(all);
  }

  private static void note(
      Incarnation executor, String outcome, List<LostTask> tasks, BatchContext context) {
    if (tasks.isEmpty()) {
      return;
    }
    context.note(BatchLogEvent.LOSS_RESOLVED, executor, outcome, tasks.size());
    context.count("fescuehook.batch.losses.resolved", "outcome", outcome);
  }
}
