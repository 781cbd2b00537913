package org.fescuehook.logic.control.trace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;
import org.fescuehook.logic.control.ControlCommand;
import org.fescuehook.logic.control.ControlCore;
import org.fescuehook.logic.control.DeclarationsReader;
import org.fescuehook.logic.control.trace.ControlTraceParser.Line;
import org.fescuehook.logic.scheduling.Scheduler;

/** Replays a trace, and compares the commands of the replay with the recorded ones. */
public final class ControlReplayer {

  /**
   * The result of a replay.
   *
   * @param events number of events replayed
   * @param commands number of commands compared
   * @param difference the first difference; empty if there is none
   */
  public record Replay(long events, long commands, Optional<Difference> difference) {}

  /**
   * A difference between a recorded and a replayed command.
   *
   * @param line number of the line; the first one is 1
   * @param recorded recorded command; empty if there is none
   * @param replayed command of the replay; empty if there is none
   */
  public record Difference(long line, String recorded, String replayed) {}

  private final Supplier<Scheduler> schedulers;
  private final DeclarationsReader declarations;
  private final ControlTraceParser parser = new ControlTraceParser();
  private final Deque<String> expected = new ArrayDeque<>();
  private Optional<ControlCore> core = Optional.empty();
  private long events;
  private long commands;
  private Optional<Difference> difference = Optional.empty();

  /**
   * Creates a replayer of one trace.
   *
   * @param schedulers creates the scheduling policy with which the trace was recorded
   */
  public ControlReplayer(Supplier<Scheduler> schedulers, DeclarationsReader declarations) {
    this.schedulers = schedulers;
    this.declarations = declarations;
  }

  /** Replays the next line. */
  public void next(String text) throws InvalidTraceException {
    Optional<Line> parsed = parser.parse(text);
    if (parsed.isEmpty()) {
      return;
    }
    switch (parsed.get()) {
      case Line.Format format -> {}
      case Line.Core recorded ->
          core =
              Optional.of(
                  new ControlCore(
                      recorded.identity(),
                      recorded.incarnation(),
                      recorded.preferences(),
                      schedulers.get(),
                      declarations));
      case Line.Event event -> replay(event);
      case Line.Command(String recorded) -> compare(recorded);
    }
  }

  private void replay(Line.Event event) throws InvalidTraceException {
    checkNoneLeft();
    if (core.isEmpty()) {
      throw new InvalidTraceException(parser.lines(), "event", "no core line before it");
    }
    events++;
    for (ControlCommand command :
        core.get().apply(event.event(), event.nowNanos(), event.wallMillis())) {
      expected.addLast(ControlTraceWriter.commandLine(command));
    }
  }

  private void compare(String recorded) {
    commands++;
    String replayed = expected.isEmpty() ? "" : expected.removeFirst();
    if (!recorded.equals(replayed)) {
      reportDifference(recorded, replayed);
    }
  }

  private void checkNoneLeft() {
    if (!expected.isEmpty()) {
      reportDifference("", expected.removeFirst());
    }
    expected.clear();
  }

  private void reportDifference(String recorded, String replayed) {
    if (difference.isEmpty()) {
      difference = Optional.of(new Difference(parser.lines(), recorded, replayed));
    }
  }

  /** Ends the replay and returns its result. */
  public Replay end() {
    checkNoneLeft();
    return new Replay(events, commands, difference);
  }
}
