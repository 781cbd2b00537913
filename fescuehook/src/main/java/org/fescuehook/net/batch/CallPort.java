package org.fescuehook.net.batch;

import java.time.Duration;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;

/** Takes calls about batch jobs. */
@FunctionalInterface
public interface CallPort {

  /**
   * Takes a call and never waits.
   *
   * @param patience how long an answer is of use, from now on
   * @param sink called once, on any thread
   */
  void call(BatchCall call, Duration patience, Consumer<CallAnswer> sink);
}
