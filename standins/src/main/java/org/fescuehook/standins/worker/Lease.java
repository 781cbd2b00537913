package org.fescuehook.standins.worker;

/** A lease on resources of a worker; times are in monotonic milliseconds. Not thread-safe. */
final class Lease {
  private static final long NEVER = Long.MAX_VALUE;

  final String id;
  final String key;
  final Resources resources;
  LeaseState state = LeaseState.HELD;
  String job = "";
  int exitCode;
  long expiresAt;
  long checkpointAt = NEVER;
  private long endsAt = NEVER;
  private int percent = 100;

  Lease(String id, String key, Resources resources, long expiresAt) {
    this.id = id;
    this.key = key;
    this.resources = resources;
    this.expiresAt = expiresAt;
  }

  void start(long now, String startedJob, TaskCommand command) {
    state = LeaseState.RUNNING;
    job = startedJob;
    endsAt = now + command.millis();
    exitCode = command.exitCode();
  }

  /** Sets the speed of the task, which lengthens or shortens the rest of its run time. */
  void throttle(long now, int newPercent) {
    endsAt = endsAt == NEVER ? NEVER : now + (endsAt - now) / newPercent * percent;
    percent = newPercent;
  }

  /** Returns when the lease next expires or its task next ends without a request. */
  long nextEventAt() {
    return state == LeaseState.RUNNING
        ? Math.min(expiresAt, Math.min(endsAt, checkpointAt))
        : expiresAt;
  }

  /** Ends the task if it is due, and returns whether it has ended. */
  boolean endTask(long now) {
    if (state != LeaseState.RUNNING || Math.min(endsAt, checkpointAt) > now) {
      return false;
    }
    if (endsAt > checkpointAt) {
      state = LeaseState.CHECKPOINTED;
    } else {
      state = exitCode == 0 ? LeaseState.FINISHED : LeaseState.FAILED;
    }
    return true;
  }
}
