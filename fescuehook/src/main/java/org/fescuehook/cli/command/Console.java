package org.fescuehook.cli.command;

import java.io.PrintStream;
import java.util.Map;

/**
 * Holds the output streams and the environment of a command.
 *
 * @param out stream for results
 * @param err stream for faults and advice
 * @param environment environment variables
 */
public record Console(PrintStream out, PrintStream err, Map<String, String> environment) {

  /** Creates the console with a copy of the environment. */
  public Console {
    environment = Map.copyOf(environment);
  }
}
