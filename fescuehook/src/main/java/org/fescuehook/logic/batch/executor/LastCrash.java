package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.OptionalLong;

/** When the previous incarnation of an executor at the same address crashed, if that is known. */
final class LastCrash {

  /** Time after a crash during which the executor may well crash again. */
  private static final long RECENT_NANOS = Duration.ofSeconds(30).toNanos();

  private OptionalLong at = OptionalLong.empty();

  /** Records a crash. */
  void crashed(long nowNanos) {
    at = OptionalLong.of(nowNanos);
  }

  /** Tells whether a crash matters for what runs there now. */
  boolean recent(long nowNanos) {
    return at.isPresent() && !stale(at.getAsLong(), nowNanos);
  }

  /** Tells whether a crash is too long ago to matter for what runs at the same address now. */
  static boolean stale(long crashedAt, long nowNanos) {
    return nowNanos - crashedAt >= RECENT_NANOS;
  }
}
