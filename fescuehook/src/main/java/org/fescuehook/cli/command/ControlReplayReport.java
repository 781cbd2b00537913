package org.fescuehook.cli.command;

import java.util.List;
import org.fescuehook.logic.control.trace.ControlReplayer.Difference;
import org.fescuehook.logic.control.trace.ControlReplayer.Replay;

/**
 * Result of the replay of a trace of the decision core.
 *
 * @param events events replayed
 * @param commands commands compared
 * @param same whether every command was as recorded
 * @param differences the first difference, if there is one
 */
record ControlReplayReport(long events, long commands, boolean same, List<Difference> differences) {

  static ControlReplayReport of(Replay replay) {
    List<Difference> differences = replay.difference().stream().toList();
    return new ControlReplayReport(
        replay.events(), replay.commands(), differences.isEmpty(), differences);
  }
}
