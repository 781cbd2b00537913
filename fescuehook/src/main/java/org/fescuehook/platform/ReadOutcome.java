package org.fescuehook.platform;

import java.util.List;
import java.util.Optional;

/** Outcome of a read of the store. */
sealed interface ReadOutcome {

  /**
   * Records in the order of their offsets.
   *
   * @param end offset after the last record of the partition
   * @param nextOffset offset after the last record that was read, which may have been left out
   */
  record Records(List<StreamRecord> records, long end, long nextOffset) implements ReadOutcome {}

  /**
   * A page of the newest record of each key.
   *
   * @param moreAfter where the next page begins, as {@link PageStart} encodes it; absent on the
   *     last page
   * @param end offset after the last record of the partition when the page was made
   */
  record Newest(List<StreamRecord> records, Optional<String> moreAfter, long end)
      implements ReadOutcome {}

  /**
   * The requested records have been deleted; {@code firstKept} is the first offset still available.
   */
  record Expired(long firstKept) implements ReadOutcome {}

  /** The read failed. */
  record Failed(String reason) implements ReadOutcome {}
}
