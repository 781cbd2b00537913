package org.fescuehook.logic.control;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.IdentityPreferences;

/**
 * Folds the control stream and decides. Pure and single-threaded: the same events at the same times
 * give the same commands.
 */
public final class ControlCore {
  private long nextOffset;

  /**
   * Creates a core that has read nothing.
   *
   * @param incarnation distinguishes starts of the same VM; never used twice
   */
  public ControlCore(
      IdentityPreferences identity,
      String incarnation,
      ControlPreferences preferences,
      Scheduler scheduler,
      DeclarationsReader declarationsReader) {}

  /**
   * Applies one event.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   * @return what is to be done, in order
   */
  public List<ControlCommand> apply(ControlEvent event, long nowNanos, long wallMillis) {
    return List.of();
  }

  /** Returns the offset after the last folded record; the next read starts there. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Tells whether this VM is the owner as far as it has read. */
  public boolean owner() {
    return false;
  }

  /** Returns the state at a glance. */
  public ControlSummary summary() {
    return new ControlSummary(
        Optional.empty(), -1, Configuration.NO_REVISION, Optional.empty(), nextOffset, false, 0, 0,
        0, 0);
  }
}
