package org.fescuehook.logic.batch.executor;

import java.time.Duration;
import java.util.OptionalLong;

/** The connections to one executor that were neither opened nor refused. */
final class ConnectTimeouts {

  /** Time for which a timeout is remembered; several polls fit into it. */
  private static final long MEMORY_NANOS = Duration.ofSeconds(3).toNanos();

  /** Time without an answer after which timeouts are hardly a coincidence. */
  private static final long PERSISTENT_NANOS = Duration.ofMillis(1000).toNanos();

  /** Time for which a timeout shows that only a part of the connections to an executor opens. */
  private static final long LOSSY_NANOS = Duration.ofSeconds(5).toNanos();

  private OptionalLong firstAt = OptionalLong.empty();
  private OptionalLong lastAt = OptionalLong.empty();
  private OptionalLong lastEverAt = OptionalLong.empty();

  /** Records that a connection timed out. */
  void timedOut(long nowNanos) {
    if (firstAt.isEmpty()) {
      firstAt = OptionalLong.of(nowNanos);
    }
    lastAt = OptionalLong.of(nowNanos);
    lastEverAt = lastAt;
  }

  /** Records that the executor answered. */
  void answered() {
    firstAt = OptionalLong.empty();
    lastAt = OptionalLong.empty();
  }

  /** Tells whether a connection has timed out within the last seconds, whatever came since. */
  boolean lossy(long nowNanos) {
    return lastEverAt.isPresent() && nowNanos - lastEverAt.getAsLong() < LOSSY_NANOS;
  }

  /** Tells whether a connection has timed out within the last seconds, and none opened since. */
  boolean recent(long nowNanos) {
    return lastAt.isPresent() && nowNanos - lastAt.getAsLong() < MEMORY_NANOS;
  }

  /** Tells whether recent connections have timed out for a while. */
  boolean persistent(long nowNanos) {
    return recent(nowNanos) && lastAt.getAsLong() - firstAt.getAsLong() >= PERSISTENT_NANOS;
  }
}
