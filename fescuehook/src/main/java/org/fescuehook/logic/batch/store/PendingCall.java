package org.fescuehook.logic.batch.store;

import java.time.Duration;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchContext;

/**
 * Marks that the outcome of a call is waited for, but not without end: an outcome that is lost with
 * a fault of this VM would otherwise stop its duty for good. Each call ends by time limits of its
 * own long before.
 */
public final class PendingCall {

  /** For appends; longer than their own limit and the way of the largest. */
  public static final Duration APPEND = RepeatedAppend.LIMIT.plusSeconds(2);

  /** For pages of the store, whose own limit is 10 s while they come steadily. */
  public static final Duration PAGE = Duration.ofSeconds(11);

  /** For questions to the advice service, whose own limit is 5 s. */
  public static final Duration ADVICE = Duration.ofSeconds(6);

  private final long longestNanos;
  private OptionalLong since = OptionalLong.empty();

  /** Creates a mark that is not set; it is taken back after the longest wait. */
  public PendingCall(Duration longest) {
    this.longestNanos = longest.toNanos();
  }

  /** Begins to wait. */
  public void begin(BatchContext context) {
    since = OptionalLong.of(context.nowNanos());
  }

  /** Ends the wait. */
  public void end() {
    since = OptionalLong.empty();
  }

  /** Tells whether an outcome is waited for and may still come. */
  public boolean present(BatchContext context) {
    return since.isPresent() && context.nowNanos() - since.getAsLong() < longestNanos;
  }
}
