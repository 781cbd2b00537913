package org.fescuehook.logic.dispatch;

import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.logic.dispatch.DispatchResult.FailureKind;
import org.fescuehook.logic.dispatch.DispatchResult.NotSentCause;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * Ejects failing executors, up to a maximum fraction of all executors. Before ejecting one whose
 * connections fail, opens a new connection to it, to distinguish a broken connection from a dead
 * executor.
 */
final class HealthMonitor {
  private final ExecutorTable executors;
  private final Consumer<DispatchCommand> out;

  HealthMonitor(ExecutorTable executors, Consumer<DispatchCommand> out) {
    this.executors = executors;
    this.out = out;
  }

  /** Records how a dispatch ended. */
  void dispatchEnded(ExecutorId executor, DispatchResult result, long nowMillis) {
    Optional<ExecutorHealth> health = executors.health(executor);
    if (health.isEmpty()) {
      return;
    }
    switch (result) {
      case DispatchResult.Answered _ -> health.get().succeeded(nowMillis);
      case DispatchResult.RefusedNotRun _ -> health.get().pause(nowMillis);
      case DispatchResult.NotSent notSent -> {
        if (notSent.cause() == NotSentCause.CONNECT_FAILED && health.get().failed()) {
          eject(executor, health.get(), nowMillis);
        }
      }
      case DispatchResult.Failed failed ->
          dispatchFailed(executor, health.get(), failed, nowMillis);
    }
  }

  private void dispatchFailed(
      ExecutorId executor, ExecutorHealth health, DispatchResult.Failed failed, long nowMillis) {
    boolean ejectable = health.failed();
    if (failed.kind() == FailureKind.BAD_ANSWER) {
      if (ejectable) {
        eject(executor, health, nowMillis);
      }
      return;
    }
    boolean suspectPath = failed.kind() == FailureKind.NO_PROGRESS || !failed.freshConnection();
    if ((ejectable || suspectPath) && health.beginCheck()) {
      out.accept(new DispatchCommand.CheckPath(executor));
    }
  }

  /**
   * Requests a new connection to check an executor of which a pooled connection made no progress.
   */
  void pathSuspected(ExecutorId executor) {
    boolean started = executors.health(executor).map(ExecutorHealth::beginCheck).orElse(false);
    if (started) {
      out.accept(new DispatchCommand.CheckPath(executor));
    }
  }

  /** Handles the result of opening a new connection to check an executor. */
  void pathChecked(ExecutorId executor, boolean reachable, long nowMillis) {
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
    if (health.isEjected(nowMillis)) {
      return;
    }
    if (!executors.mayEject(nowMillis)) {
      out.accept(new DispatchCommand.Count("fescuehook.executors.ejections.capped"));
      out.accept(new DispatchCommand.Note(RequestEvent.EJECTION_CAPPED, executor));
      return;
    }
    long durationMillis = health.eject(nowMillis);
    out.accept(new DispatchCommand.Count("fescuehook.executors.ejections"));
    out.accept(new DispatchCommand.CloseIdle(executor));
    out.accept(new DispatchCommand.Note(RequestEvent.EXECUTOR_EJECTED, executor, durationMillis));
  }
}
