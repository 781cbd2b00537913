package org.fescuehook.cli.command;

import java.util.List;
import org.fescuehook.logic.control.trace.ControlReplayer.Difference;
import org.fescuehook.logic.control.trace.ControlReplayer.Replay;

/**
 * Reports the replay of a trace that an entry VM's decision core recorded.
 *
 * @param events number of events replayed
 * @param commands number of commands compared
 * @param same whether every command equals the recorded one
 * @param differences the first difference; empty if there is none
 */
record ControlReplayReport(long events, long commands, boolean same, List<Difference> differences) {

  static ControlReplayReport of(Replay replay) {
    List<Difference> differences = replay.difference().stream().toList();
    return new ControlReplayReport(
        replay.events(), replay.commands(), differences.isEmpty(), differences);
  }
}
