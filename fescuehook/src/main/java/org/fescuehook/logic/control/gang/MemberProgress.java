package org.fescuehook.logic.control.gang;

import org.fescuehook.logic.worker.WorkerPort.State;
import org.fescuehook.model.fleet.WorkerId;

/** Progress of one member of an attempt, as reported by its worker. */
final class MemberProgress {
  final int number;
  final WorkerId worker;
  String lease = "";
  boolean leaseRequested;
  boolean refused;
  boolean running;
  boolean finished;
  boolean failed;
  boolean checkpointed;
  boolean gone;
  int exitCode;
  long lastReplyNanos;
  long lastRenewalNanos;
  long lastCommandNanos = Long.MIN_VALUE / 2;

  MemberProgress(int number, WorkerId worker, long nowNanos) {
    this.number = number;
    this.worker = worker;
    this.lastReplyNanos = nowNanos;
    this.lastRenewalNanos = nowNanos;
  }

  boolean granted() {
    return !lease.isEmpty();
  }

  /** Returns whether the worker reported that the task started. */
  boolean started() {
    return running || finished || failed || checkpointed;
  }

  /** Returns whether the lease was gone before its task ended. */
  boolean lost() {
    return gone && !finished && !failed && !checkpointed;
  }

  void update(State state, long nowNanos) {
    lastReplyNanos = nowNanos;
    switch (state.state()) {
      case HELD -> {}
      case RUNNING -> running = true;
      case CHECKPOINTED -> checkpointed = true;
      case FINISHED -> {
        finished = true;
        exitCode = state.exitCode();
      }
      case FAILED -> {
        failed = true;
        exitCode = state.exitCode();
      }
      case GONE -> gone = true;
    }
  }
}
