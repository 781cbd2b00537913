package org.fescuehook.platform;

import java.util.List;
import java.util.Optional;

/** What a read of the store gave. */
sealed interface ReadOutcome {

  /**
   * Records in the order of their offsets.
   *
   * @param end offset after the last record of the partition
   */
  record Records(List<StreamRecord> records, long end) implements ReadOutcome {}

  /**
   * A page of the newest record of each key.
   *
   * @param moreAfter key after which the next page begins; absent on the last page
   * @param end offset after the last record of the partition when the page was made
   */
  record Newest(List<StreamRecord> records, Optional<String> moreAfter, long end)
      implements ReadOutcome {}

  /** The records asked for have been deleted. */
  record Expired(long firstKept) implements ReadOutcome {}

  /** Nothing was read. */
  record Failed(String reason) implements ReadOutcome {}
}
