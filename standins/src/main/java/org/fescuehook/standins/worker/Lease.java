package org.fescuehook.standins.worker;

/** State of one lease in the book of its worker. Not thread-safe. */
final class Lease {
  private static final long NEVER = Long.MAX_VALUE;

  final String id;
  final String key;
  final Resources resources;
  LeaseState state = LeaseState.HELD;
  String job = "";
  int exitCode;
  long expiresAt;
  private int percent = 100;
  private long endsAt = NEVER;
  private long checkpointAt = NEVER;

  Lease(String id, String key, Resources resources, long expiresAt) {
    this.id = id;
    this.key = key;
    this.resources = resources;
    this.expiresAt = expiresAt;
  }

  /** Returns when something happens by itself next. */
  long nextEvent() {
    return state == LeaseState.RUNNING
        ? Math.min(expiresAt, Math.min(endsAt, checkpointAt))
        : expiresAt;
  }

  void start(long now, String jobId, TaskCommand command) {
    state = LeaseState.RUNNING;
    job = jobId;
    switch (command) {
      case TaskCommand.Run run -> {
        endsAt = now + run.millis();
        exitCode = run.exitCode();
      }
      case TaskCommand.Forever forever -> endsAt = NEVER;
    }
  }

  void checkpoint(long at) {
    if (state == LeaseState.RUNNING && checkpointAt == NEVER) {
      checkpointAt = at;
    }
  }

  void throttle(long now, int newPercent) {
    if (endsAt != NEVER) {
      endsAt = now + (endsAt - now) * percent / newPercent;
    }
    percent = newPercent;
  }

  /** Ends the task if its time has come; returns whether it did. */
  boolean endTask(long now) {
    if (state != LeaseState.RUNNING) {
      return false;
    }
    if (endsAt <= now) {
      state = exitCode == 0 ? LeaseState.FINISHED : LeaseState.FAILED;
      return true;
    }
    if (checkpointAt <= now) {
      state = LeaseState.CHECKPOINTED;
      return true;
    }
    return false;
  }
}
