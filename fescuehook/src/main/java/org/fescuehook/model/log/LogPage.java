package org.fescuehook.model.log;

import java.util.List;

/**
 * Result of one read.
 *
 * @param earliest oldest offset still kept
 * @param next offset that the next appended record gets
 * @param records records in the order of their offsets, without gaps but for what retention removed
 */
public record LogPage(long earliest, long next, List<LogRecord> records) {

  /** Copies the list. */
  public LogPage {
    records = List.copyOf(records);
  }
}
