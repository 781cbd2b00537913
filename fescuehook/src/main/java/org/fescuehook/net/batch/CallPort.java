package org.fescuehook.net.batch;

import java.time.Duration;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;

/** Accepts calls about batch jobs. */
@FunctionalInterface
public interface CallPort {

  /**
   * Submits a call without blocking.
   *
   * @param timeout time from now after which an answer is no longer of use to the caller
   * @param sink receives the answer; called exactly once, on any thread
   */
  void call(BatchCall call, Duration timeout, Consumer<CallAnswer> sink);
}
