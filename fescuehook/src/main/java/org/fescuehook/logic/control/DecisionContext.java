package org.fescuehook.logic.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.model.event.NumberedEvent;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.wire.ControlRecord;

/** The context in which one event is applied: its time, and the commands that result from it. */
public final class DecisionContext {
  private final long nowNanos;
  private final long wallMillis;
  private final List<ControlCommand> commands = new ArrayList<>();

  /**
   * Creates the context of one event.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   */
  public DecisionContext(long nowNanos, long wallMillis) {
    this.nowNanos = nowNanos;
    this.wallMillis = wallMillis;
  }

  /** Returns the monotonic time, in nanoseconds. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Returns the time in milliseconds since 1970. */
  public long wallMillis() {
    return wallMillis;
  }

  /**
   * Returns whether at least {@code wait} has passed since {@code sinceNanos}, a monotonic time.
   */
  public boolean hasElapsed(long sinceNanos, Duration wait) {
    return nowNanos - sinceNanos >= wait.toNanos();
  }

  /** Adds a command to the result. */
  public void add(ControlCommand command) {
    commands.add(command);
  }

  /** Adds a command that appends a record. */
  public void append(ControlRecord record) {
    add(new ControlCommand.Append(record));
  }

  /** Adds a command that sends a worker command. */
  public void send(WorkerId worker, WorkerCommand command) {
    add(new ControlCommand.Send(worker, command));
  }

  /** Adds a command that answers the request with this ticket. */
  public void reply(long ticket, ControlPort.Answer answer) {
    add(new ControlCommand.Reply(ticket, answer));
  }

  /** Adds a command that writes a log line. */
  public void note(NumberedEvent event, Object... arguments) {
    add(new ControlCommand.Note(event, arguments));
  }

  /** Adds a command that increments a counter. */
  public void count(String name, String... tags) {
    add(new ControlCommand.Count(name, tags));
  }

  /** Returns the commands in the order in which they were added. */
  public List<ControlCommand> commands() {
    return List.copyOf(commands);
  }
}
