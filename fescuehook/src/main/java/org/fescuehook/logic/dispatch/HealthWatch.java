package org.fescuehook.logic.dispatch;

import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.logic.dispatch.DispatchResult.FailureKind;
import org.fescuehook.logic.dispatch.DispatchResult.NotSentCause;
import org.fescuehook.model.fleet.ExecutorId;

/** Ejects executors that fail, telling a dead path from a dead executor, under a cap. */
final class HealthWatch {
  private final ExecutorTable executors;
  private final Consumer<DispatchCommand> out;

  HealthWatch(ExecutorTable executors, Consumer<DispatchCommand> out) {
    this.executors = executors;
    this.out = out;
  }

  /** Notes how a dispatch ended. */
  void ended(ExecutorId executor, DispatchResult end, long nowMillis) {
    Optional<ExecutorHealth> health = executors.health(executor);
    if (health.isEmpty()) {
      return;
    }
    switch (end) {
      case DispatchResult.Answered _ -> health.get().succeeded(nowMillis);
      case DispatchResult.RefusedNotRun _ -> health.get().pause(nowMillis);
      case DispatchResult.NotSent notSent -> {
        if (notSent.cause() == NotSentCause.CONNECT_FAILED && health.get().failed()) {
          eject(executor, health.get(), nowMillis);
        }
      }
      case DispatchResult.Failed failed -> failed(executor, health.get(), failed, nowMillis);
    }
  }

  private void failed(
      ExecutorId executor, ExecutorHealth health, DispatchResult.Failed failed, long nowMillis) {
    boolean enough = health.failed();
    if (failed.kind() == FailureKind.BAD_ANSWER) {
      if (enough) {
        eject(executor, health, nowMillis);
      }
      return;
    }
    boolean suspectPath = failed.kind() == FailureKind.NO_PROGRESS || !failed.freshConnection();
    if ((enough || suspectPath) && health.beginCheck()) {
      out.accept(new DispatchCommand.CheckPath(executor));
    }
  }

  /** Has a fresh connection tried, since a pooled one gave no sign of life. */
  void suspected(ExecutorId executor) {
    boolean begun = executors.health(executor).map(ExecutorHealth::beginCheck).orElse(false);
    if (begun) {
      out.accept(new DispatchCommand.CheckPath(executor));
    }
  }

  /** Takes the result of trying a fresh connection. */
  void checked(ExecutorId executor, boolean reachable, long nowMillis) {
    Optional<ExecutorHealth> health = executors.health(executor);
    if (health.isEmpty()) {
      return;
    }
    if (health.get().checked(reachable)) {
      eject(executor, health.get(), nowMillis);
      return;
    }
    out.accept(new DispatchCommand.CloseIdle(executor));
    out.accept(new DispatchCommand.Count("fescuehook.executors.paths.dead"));
    out.accept(new DispatchCommand.Note(RequestEvent.EXECUTOR_PATH_DEAD, executor));
  }

  private void eject(ExecutorId executor, ExecutorHealth health, long nowMillis) {
    if (health.ejected(nowMillis)) {
      return;
    }
    if (!executors.mayEject(nowMillis)) {
      out.accept(new DispatchCommand.Count("fescuehook.executors.ejections.capped"));
      out.accept(new DispatchCommand.Note(RequestEvent.EJECTION_CAPPED, executor));
      return;
    }
    long lasts = health.eject(nowMillis);
    out.accept(new DispatchCommand.Count("fescuehook.executors.ejections"));
    out.accept(new DispatchCommand.CloseIdle(executor));
    out.accept(new DispatchCommand.Note(RequestEvent.EXECUTOR_EJECTED, executor, lasts));
  }
}
