package org.fescuehook.logic.batch.admission;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * How old the configuration of this VM may be. API keys and queues change while a VM cannot read
 * the operators' records, so a VM says that a key or queue does not exist only if it has read them
 * recently. Thread-safe.
 */
public final class ConfigurationAge {

  /**
   * Age of the last read above which keys and queues may have been declared since. The stream is
   * read about once a second, and a configuration has to be in force 2 s after its publication.
   */
  public static final Duration MAX_AGE = Duration.ofSeconds(3);

  private final AtomicReference<OptionalLong> readAt = new AtomicReference<>(OptionalLong.empty());

  /**
   * Records a successful read of the operators' stream.
   *
   * @param sentAt when the read was sent, monotonic time
   */
  public void read(long sentAt) {
    readAt.updateAndGet(
        known ->
            known.isPresent() && known.getAsLong() - sentAt > 0 ? known : OptionalLong.of(sentAt));
  }

  /** Returns the age of the last read; 0 if there was none. */
  public long millis(long nowNanos) {
    OptionalLong last = readAt.get();
    return last.isPresent() ? Duration.ofNanos(nowNanos - last.getAsLong()).toMillis() : 0;
  }

  /**
   * Returns whether the operators' records were read so recently that the configuration counts as
   * current.
   */
  public boolean current(long nowNanos) {
    OptionalLong last = readAt.get();
    return last.isPresent() && nowNanos - last.getAsLong() <= MAX_AGE.toNanos();
  }
}
