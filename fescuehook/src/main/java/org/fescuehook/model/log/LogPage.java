package org.fescuehook.model.log;

import java.util.List;

/**
 * A page of records read from a stream of the log.
 *
 * @param earliest oldest offset that the log still keeps
 * @param next offset that the next appended record gets
 * @param records records in the order of their offsets; offsets are missing only where retention
 *     removed records
 */
public record LogPage(long earliest, long next, List<LogRecord> records) {

  /** Copies the list. */
  public LogPage {
    records = List.copyOf(records);
  }
}
