package org.fescuehook.logic.platform;

import java.util.function.Consumer;

/** Hands records to the thread that appends them. */
public interface LogAppender {

  /**
   * Offers a record without waiting.
   *
   * @param sink called once, on the appending thread, with the result
   * @return false if the ring is full; the record will not be appended then
   */
  boolean offer(String stream, byte[] data, Consumer<AppendResult> sink);

  /** What became of a record. */
  sealed interface AppendResult {

    /** It is in the log. */
    record Appended(long offset) implements AppendResult {}

    /** It is surely not in the log. */
    record NotAppended(String reason) implements AppendResult {}

    /** It may be in the log; reading tells. */
    record Unknown(String reason) implements AppendResult {}
  }
}
