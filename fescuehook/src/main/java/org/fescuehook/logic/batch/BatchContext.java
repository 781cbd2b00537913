package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.model.event.NumberedEvent;

/** The context of one event being applied: its time, and the commands that result from it. */
public final class BatchContext {

  private final long nowNanos;
  private final long wallMillis;
  private final boolean moreEventsQueued;
  private final List<BatchCommand> commands = new ArrayList<>();

  /**
   * Creates the context of an event after which no other event waits.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   */
  public BatchContext(long nowNanos, long wallMillis) {
    this(nowNanos, wallMillis, false);
  }

  /**
   * Creates the context of an event.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   * @param moreEventsQueued whether further events are queued
   */
  public BatchContext(long nowNanos, long wallMillis, boolean moreEventsQueued) {
    this.nowNanos = nowNanos;
    this.wallMillis = wallMillis;
    this.moreEventsQueued = moreEventsQueued;
  }

  /**
   * Returns whether further events are queued. Expensive work such as planning can then be
   * postponed and done once for all of them.
   */
  public boolean moreEventsQueued() {
    return moreEventsQueued;
  }

  /** Returns the monotonic time of the event, in nanoseconds. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Returns the wall-clock time of the event, in milliseconds since 1970. */
  public long wallMillis() {
    return wallMillis;
  }

  /** Adds a command; commands are executed in the order of their addition. */
  public void add(BatchCommand command) {
    commands.add(command);
  }

  /** Adds a command that logs an event. */
  public void note(NumberedEvent event, Object... arguments) {
    commands.add(new BatchCommand.Note(event, List.of(arguments)));
  }

  /** Adds a command that logs an event as a warning. */
  public void warn(NumberedEvent event, Object... arguments) {
    commands.add(new BatchCommand.Warning(event, List.of(arguments)));
  }

  /** Adds a command that increments a counter. */
  public void count(String metric, String tag, String value) {
    commands.add(new BatchCommand.Count(metric, tag, value));
  }

  /** Adds a command that records the duration of a stage of a job or run. */
  public void stage(String stage, long nanos) {
    add(new BatchCommand.Measure("fescuehook.batch.stage", "stage", stage, nanos));
  }

  /** Returns the commands added so far. */
  public List<BatchCommand> commands() {
    return List.copyOf(commands);
  }
}
