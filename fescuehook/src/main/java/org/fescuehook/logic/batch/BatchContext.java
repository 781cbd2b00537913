package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.model.event.NumberedEvent;

/** One event being applied: its time, and the commands that it gives. */
public final class BatchContext {

  private final long nowNanos;
  private final long wallMillis;
  private final boolean more;
  private final List<BatchCommand> commands = new ArrayList<>();

  /**
   * Begins a turn.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   */
  public BatchContext(long nowNanos, long wallMillis) {
    this(nowNanos, wallMillis, false);
  }

  /**
   * Begins a turn.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   * @param more whether further events wait already
   */
  public BatchContext(long nowNanos, long wallMillis, boolean more) {
    this.nowNanos = nowNanos;
    this.wallMillis = wallMillis;
    this.more = more;
  }

  /** Tells whether further events wait already, so that costly work may be done once for all. */
  public boolean more() {
    return more;
  }

  /** Returns the monotonic time in nanoseconds. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Returns milliseconds since 1970. */
  public long wallMillis() {
    return wallMillis;
  }

  /** Adds a command; commands are carried out in order. */
  public void add(BatchCommand command) {
    commands.add(command);
  }

  /** Has an event logged. */
  public void note(NumberedEvent event, Object... arguments) {
    commands.add(new BatchCommand.Note(event, List.of(arguments)));
  }

  /** Has a counter incremented. */
  public void count(String metric, String tag, String value) {
    commands.add(new BatchCommand.Count(metric, tag, value));
  }

  /** Measures how long a stage of a job or run took. */
  public void stage(String stage, long nanos) {
    add(new BatchCommand.Measure("fescuehook.batch.stage", "stage", stage, nanos));
  }

  /** Returns the commands so far. */
  public List<BatchCommand> commands() {
    return List.copyOf(commands);
  }
}
