package org.fescuehook.logic.batch.store;

import java.time.Duration;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchContext;

/**
 * Tracks whether the outcome of a call is awaited, for a limited time. Without the limit, an
 * outcome that is lost by a fault of this VM would block its duty forever. Each call ends by its
 * own timeout long before.
 */
public final class PendingCall {

  /** For appends; longer than their own time limit and the transfer time of the largest. */
  public static final Duration APPEND_TIMEOUT = RepeatedAppend.LIMIT.plusSeconds(2);

  /** For pages read from the store, whose own time limit is 10 s while they arrive steadily. */
  public static final Duration PAGE_TIMEOUT = Duration.ofSeconds(11);

  /** For requests to the advice service, whose own timeout is 5 s. */
  public static final Duration ADVICE_TIMEOUT = Duration.ofSeconds(6);

  private final long timeoutNanos;
  private OptionalLong since = OptionalLong.empty();

  /**
   * Creates an instance without a call.
   *
   * @param timeout time after which an outcome is no longer awaited
   */
  public PendingCall(Duration timeout) {
    this.timeoutNanos = timeout.toNanos();
  }

  /** Records that a call has begun. */
  public void begin(BatchContext context) {
    since = OptionalLong.of(context.nowNanos());
  }

  /** Records that the outcome of the call has arrived. */
  public void end() {
    since = OptionalLong.empty();
  }

  /** Tells whether a call is under way whose outcome may still arrive. */
  public boolean isPending(BatchContext context) {
    return since.isPresent() && context.nowNanos() - since.getAsLong() < timeoutNanos;
  }
}
