package org.fescuehook.logic.control.gang;

import org.fescuehook.logic.worker.WorkerPort.State;
import org.fescuehook.model.fleet.WorkerId;

/** What the driving VM knows of one member of an attempt, by its worker's word. */
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

  /** Tells whether the task began, by its worker's word. */
  boolean started() {
    return running || finished || failed || checkpointed;
  }

  /** Tells whether the lease vanished before its task ended. */
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
