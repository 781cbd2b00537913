package org.fescuehook.logic.platform;

import java.time.Duration;
import org.fescuehook.model.log.LogPage;

/**
 * The platform's log service. Calls block the calling thread, so they are made on duty threads
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
   * Reads records starting at an offset. If there are none yet, waits up to {@code wait} for the
   * first one.
   *
   * @throws LogUnavailableException if the log gave no answer
   */
  LogPage read(String stream, long from, int max, Duration wait) throws LogUnavailableException;
}
