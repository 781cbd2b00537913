package org.fescuehook.logic.control.trace;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.control.ControlCommand;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.IdentityPreferences;

/**
 * Writes a trace of a decision core: its identity and preferences, then its events, each followed
 * by the commands that resulted from it. The first line names the format and its version.
 */
public final class ControlTraceWriter {

  /** The first line of a trace. */
  static final String FORMAT = "fescuehook-control-trace 1";

  /** Prefix of the lines that hold a command. */
  static final String COMMAND = "> ";

  private ControlTraceWriter() {}

  /** Returns the header lines of the trace of a core. */
  public static List<String> header(
      IdentityPreferences identity, String incarnation, ControlPreferences preferences) {
    String core =
        new TraceLine("core")
            .add(identity.vm().value())
            .add(identity.domain().value())
            .add(incarnation)
            .add(preferences.ownerHeartbeat().toNanos())
            .add(preferences.ownerTimeout().toNanos())
            .add(preferences.claimStagger().toNanos())
            .add(preferences.leaseTtl().toNanos())
            .add(preferences.renewInterval().toNanos())
            .add(preferences.grantTimeout().toNanos())
            .add(preferences.snapshotInterval().toNanos())
            .add(preferences.tick().toNanos())
            .toString();
    return List.of(FORMAT, core);
  }

  /** Returns the lines for one event and its commands. */
  public static List<String> lines(
      ControlEvent event, long nowNanos, long wallMillis, List<ControlCommand> commands) {
    List<String> lines = new ArrayList<>(commands.size() + 1);
    lines.add(nowNanos + " " + wallMillis + " " + EventEncoder.encode(event));
    for (ControlCommand command : commands) {
      lines.add(commandLine(command));
    }
    return lines;
  }

  static String commandLine(ControlCommand command) {
    return COMMAND + CommandEncoder.encode(command);
  }
}
