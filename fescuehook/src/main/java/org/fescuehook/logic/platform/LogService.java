package org.fescuehook.logic.platform;

import java.time.Duration;
import org.fescuehook.model.log.LogPage;

/**
 * The platform's log. Implementations block the calling thread; they are called by duty threads
 * only.
 */
public interface LogService {

  /**
   * Appends a record.
   *
   * @return its offset
   * @throws LogUnavailableException if the log refused it or gave no answer; {@link
   *     LogUnavailableException#mayHaveTakenEffect()} tells whether the record may still be in the
   *     log
   */
  long append(String stream, byte[] data) throws LogUnavailableException;

  /**
   * Reads records from an offset on, waiting up to {@code wait} for a first one.
   *
   * @throws LogUnavailableException if the log gave no answer
   */
  LogPage read(String stream, long from, int max, Duration wait) throws LogUnavailableException;
}
