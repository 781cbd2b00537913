package org.fescuehook.logic.platform;

import java.util.function.Consumer;

/** Passes records to the thread that appends them to the log. */
public interface LogAppender {

  /**
   * Offers a record for appending, without blocking.
   *
   * @param sink receives the result, once, on the appending thread
   * @return false if the ring is full and the record will not be appended
   */
  boolean offer(String stream, byte[] data, Consumer<AppendResult> sink);

  /** Result of appending a record. */
  sealed interface AppendResult {

    /** The record is in the log. */
    record Appended(long offset) implements AppendResult {}

    /** The record is certainly not in the log. */
    record NotAppended(String reason) implements AppendResult {}

    /** The record may be in the log; only reading the log can tell. */
    record Unknown(String reason) implements AppendResult {}
  }
}
