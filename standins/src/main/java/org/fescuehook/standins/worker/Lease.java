package org.fescuehook.standins.worker;

/** One lease in the book of its worker; times are in milliseconds. Not thread-safe. */
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

  void start(long now, String ofJob, TaskCommand command) {
    state = LeaseState.RUNNING;
    job = ofJob;
    endsAt = now + command.millis();
    exitCode = command.exitCode();
  }

  void throttle(long now, int newPercent) {
    endsAt = endsAt == NEVER ? NEVER : now + (endsAt - now) / newPercent * percent;
    percent = newPercent;
  }

  /** Returns when something happens by itself next. */
  long nextEvent() {
    return state == LeaseState.RUNNING
        ? Math.min(expiresAt, Math.min(endsAt, checkpointAt))
        : expiresAt;
  }

  /** Ends the task if its time has come; returns whether it did. */
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
